/** Scheduling decisions, without I/O or clock: which tasks wait, in which order they start, and on which worker. */
export { failIfExhausted, hasAttemptLeft, setMaxAttempts } from "./attempts";
export { type AccountLimits, createAccountLimits } from "./createAccountLimits";
export { createAccountShares } from "./createAccountShares";
export { createIndexRanges, type IndexRange, type IndexRanges } from "./createIndexRanges";
export { createServiceShares, type ServiceShares } from "./createServiceShares";
export { createSizeClassifier, SizeClass } from "./createSizeClassifier";
export { createStartGate, type StartGate } from "./createStartGate";
export { createWorker } from "./createWorker";
export { desiredCpuMillis } from "./desiredCpuMillis";
export { estimateRemaining, targetAgeMs } from "./estimateRemaining";
export {
    createDurationEstimates,
    type DurationEstimates,
    remainingCriticalPathMs,
    remainingWorkCoreMs,
    waitingCpuMillis,
} from "./estimates";
export { findObstacle, type Host, Obstacle } from "./findObstacle";
export { isWithinTenantLimit } from "./isWithinTenantLimit";
export {
    acceptsNewWork,
    fitsCapacity,
    hasFreeCapacity,
    isEligible,
    isInService,
    isOperational,
    placeTask,
} from "./placeTask";
export { listStragglers, planSpeculativeRuns } from "./planSpeculativeRuns";
export { groupByPool, listAdviceCandidates, type PlanOptions, planStarts, type StartsInFlight } from "./planStarts";
export { hasProgressRoom, recordProgressBytes } from "./progressBounds";
export { findMaxAttempts, queueOf, type SubmissionQueue } from "./queueOf";
export { type PlacementUnit, type RankedEntry, rankSubmissions } from "./rankSubmissions";
export { recordStart } from "./recordStart";
export { addRun, moveRun, removeRun } from "./runs";
export * from "./schedulerState";
export {
    countIdle,
    countUnstarted,
    findIdle,
    isStepDone,
    keepTask,
    markDone,
    markFailed,
    restoreDone,
    type StepTasks,
    taskAt,
    taskName,
} from "./stepTasks";
export {
    addDueOccurrences,
    addOccurrence,
    addSubmission,
    dueAtMs,
    findTask,
    isComplete,
    isStepReady,
    occurrenceCount,
    startedTasksOf,
} from "./submissionEntries";
export { findTimeliness, maxUsefulTargets, Timeliness } from "./timeliness";
export { isSuspect, quarantine, recordFailure, recordSuccess } from "./workerHealth";
export {
    ensureIncarnation,
    isCurrentIncarnation,
    type OnIncarnationEnded,
    removeWorker,
    replaceIncarnation,
} from "./workerIncarnations";
