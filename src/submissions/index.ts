/** Submissions: their types, their records in the store, and the API for clients' requests about them. */
export { createDoor } from "./createDoor";
export { createRecordWriter, type RecordWriter } from "./createRecordWriter";
export type { AcceptResult, CancelResult, CountResult, Door, OwnerView, QueueCall, Refusal, StateResult } from "./door";
export { decodeRecord, encodeRecord, submissionKey, submissionPrefix, type SubmissionRecord } from "./record";
export {
    type FinalState,
    type Schedule,
    type Step,
    type Submission,
    type SubmissionRequest,
    SubmissionState,
} from "./submission";
