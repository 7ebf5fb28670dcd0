/** Runs of tasks on workers: start and stop requests, polls that list runs and renew leases, and lease expiry. */
export { applyEnd } from "./applyEnds";
export { createLooks, type Looks } from "./createLooks";
export { createRelayedWorkers } from "./createRelayedWorkers";
export { createRuns, type Runs } from "./createRuns";
export { createStartWindow, type StartWindow } from "./createStartWindow";
export { DropCause } from "./dropCause";
export { dropEvidence } from "./dropEvidence";
export * from "./taskWorkers";
export { earliestWorkerMs, latestWorkerMs, longestMs, noteClock } from "./workerClock";
export { isLeaseOver, type LeaseBounds, noteEarlierLeases, noteLease, startValidUntilMs } from "./workerLease";
