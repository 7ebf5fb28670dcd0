/** In-memory store, workers and machines for scenarios of scheduling; all use the runtime's clock. */
export { type CompetitionWorld, createCompetitionWorld, type PoolLoad } from "./createCompetitionWorld";
export { createFakeAdviser, hasValidTicket } from "./createFakeAdviser";
export { createFakeStore, type FakeStore, type StoreFault } from "./createFakeStore";
export {
    createFakeTaskWorkers,
    type FakeTaskWorker,
    type FakeTaskWorkers,
    type WorkerEvent,
    type WorkerFault,
    workerFaults,
} from "./createFakeTaskWorkers";
export type { SchedulingEntry } from "./createSchedulingEntry";
export { createSchedulingWorld, type SchedulingWorld, type SchedulingWorldOptions } from "./createSchedulingWorld";
export type { MachineOrderFault } from "./delayOrder";
export { countOrderedAway, findDoubleRun } from "./judgeEvents";
export { listTasks } from "./listTasks";
export { plainPolicy, plainRoute, plainStep, plainSubmission } from "./plainPolicy";
