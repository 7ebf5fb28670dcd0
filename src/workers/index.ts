/** Client of the workers: tasks under leases, usage, drain, and reboot. */
export { createHttpWorkers, type HttpWorkersOptions } from "./createHttpWorkers";
export type {
    LeaseRenewal,
    RunTaskRequest,
    StopMode,
    TaskResult,
    TaskSize,
    WorkerAddress,
    WorkerCommand,
    WorkerFailure,
    Workers,
    WorkerUsage,
} from "./workers";
