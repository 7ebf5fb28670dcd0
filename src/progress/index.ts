/** Progress of tasks, written to the store before the leader acts on it. */
export { type CommitLimit, createCommitLimit, maxConcurrentCommits } from "./createCommitLimit";
export { createProgressWriter, type ProgressWriter } from "./createProgressWriter";
export {
    decodeProgress,
    encodeProgress,
    noProgress,
    progressKey,
    progressPrefix,
    type SubmissionProgress,
    type TaskProgress,
} from "./progressRecord";
export { countOperations, type PendingSave, SavePurpose, takeBatch } from "./takeBatch";
