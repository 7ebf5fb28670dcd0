/** Client of the workers: tasks under leases, usage, drain, and reboot. */
export { createHttpWorkers, type HttpWorkersOptions } from "./createHttpWorkers";
export type {
    LeaseRenewal,
    StopMode,
    TaskOrder,
    TaskResult,
    TaskSize,
    WorkerAddress,
    WorkerFailure,
    WorkerNotice,
    Workers,
    WorkerUsage,
} from "./workers";
