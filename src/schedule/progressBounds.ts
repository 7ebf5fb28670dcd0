import type { SubmissionEntry } from "./schedulerState";

/** Length of a started task in the progress record of its submission, in bytes, once it has a checkpoint. */
const rowBytes = 120;

/** Share of the store's longest value up to which a progress record may grow by further starts; checkpoints may be longer. */
const maxShare = 0.75;

/** Notes the length of a submission's progress record, in bytes. Tasks without a checkpoint count as if they had one. */
export function recordProgressBytes(entry: SubmissionEntry, bytes: number): void {
    let startedCount = 0;
    for (const { steps } of entry.occurrences.values()) {
        startedCount += steps.reduce((sum, { started }) => sum + started.size, 0);
    }
    entry.progressBytes = Math.max(bytes, startedCount * rowBytes);
}

/** Whether the progress record has room for tasks that it doesn't hold yet. */
export function hasProgressRoom({ progressBytes }: SubmissionEntry, newTasks: number, maxValueBytes: number): boolean {
    return progressBytes + newTasks * rowBytes <= maxValueBytes * maxShare;
}
