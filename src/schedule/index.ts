/** Scheduling decisions, without I/O or clock: which tasks wait, in which order they start, and on which worker. */
export * from "./board";
export { createWorker } from "./createWorker";
export {
    addDueOccurrences,
    addOccurrence,
    addSubmission,
    dueAtMs,
    findTask,
    isComplete,
    isStepReady,
    occurrenceCount,
    taskName,
    tasksOf,
} from "./entries";
export { createEstimates, type Estimates, remainingChainMs, remainingWork, waitingCpuMillis } from "./estimates";
export { hasTenantRoom } from "./hasTenantRoom";
export { lookAhead, targetAgeMs } from "./lookAhead";
export { listUnits, orderWork, type RankedEntry, type Unit } from "./orderWork";
export { paceOfWorkCpuMillis } from "./paceOfWork";
export { fitsEmpty, hasRoom, isEligible, isInService, isOpen, placeTask } from "./placeTask";
export { planCopies } from "./planCopies";
export { groupByPool, listAdviceCandidates, planStarts } from "./planStarts";
export { routeOf } from "./routeOf";
export { addRun, moveRun, removeRun } from "./runs";
export { isSuspect, noteFailure, noteSuccess, quarantine } from "./workerHealth";
export { isOnBoard, type LifeEnded, removeWorker, replaceLife, takeLife } from "./workerLives";
