/** Submissions: their types, their records in the store, and the API for clients' requests about them. */
export { createCancelBudget } from "./createCancelBudget";
export { createLoadCheck, type LoadCheck } from "./createLoadCheck";
export { createRecordWriter, type RecordWriter } from "./createRecordWriter";
export { createSubmissionApi } from "./createSubmissionApi";
export { declaredCriticalPathMs, defaultTaskMs } from "./declaredCriticalPathMs";
export {
    createTombstone,
    decodeRecord,
    encodeRecord,
    isTombstone,
    lateWriteMs,
    minKeepFinishedMs,
    type RemainingRun,
    type RemainingRuns,
    submissionIdOf,
    submissionKey,
    submissionPrefix,
    type SubmissionRecord,
} from "./record";
export { sizeCoreMs } from "./sizeCoreMs";
export {
    type FinalState,
    type Schedule,
    type Step,
    type Submission,
    type SubmissionRequest,
    SubmissionState,
} from "./submission";
export type {
    AcceptResult,
    CancelResult,
    CountResult,
    LeaderQueries,
    Refusal,
    RequestContext,
    StateResult,
    SubmissionApi,
} from "./submissionApi";
