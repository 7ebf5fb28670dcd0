/** The work of the scheduling leader during one tenure. */
export { createConsolidator } from "./createConsolidator";
export { createScheduler, type Scheduler, type SchedulerBounds } from "./createScheduler";
export { createStandbyCopy, type StandbyCopy, type StateCopy } from "./createStandbyCopy";
export { measureDemand } from "./measureDemand";
export type { WorkerDecoder, WorkerRegistration } from "./workerRegistration";
