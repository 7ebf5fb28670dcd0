/** Runs of tasks on workers: start and stop requests, polls that list runs and renew leases, and lease expiry. */
export { applyEnd } from "./applyEnd";
export { collectDropEvidence } from "./collectDropEvidence";
export { createRelayedWorkerApi } from "./createRelayedWorkerApi";
export { createRunControl, type RunControl } from "./createRunControl";
export { createStartWindow, type StartWindow } from "./createStartWindow";
export { createWorkerPolling, type WorkerPolling } from "./createWorkerPolling";
export { DropCause } from "./dropCause";
export * from "./workerApi";
export { earliestWorkerMs, latestWorkerMs, maxLocalMs, recordClockReading } from "./workerClock";
export {
    areLeasesExpired,
    boundEarlierLeases,
    extendLeaseBound,
    type LeaseBounds,
    startValidUntilMs,
} from "./workerLease";
