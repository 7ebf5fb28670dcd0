import type { SubmissionEntry } from "../schedule";
import { maxCommitOperations } from "../store";

/**
 * What waits for a change to be in the store.
 *
 * - `start`: a start request, which is sent only after its record has been written.
 * - `end`: the acknowledgement of an end to its worker, or a final state.
 */
export const SavePurpose = { start: "start", end: "end" } as const;
export type SavePurpose = typeof SavePurpose[keyof typeof SavePurpose];

/** A submission with changes that wait for a commit. */
export interface PendingSave {
    readonly entry: SubmissionEntry;
    /** Since when the submission has waited for a commit, on the clock that `takeBatch` is given, in milliseconds. */
    readonly sinceMs: number;
    purpose: SavePurpose;
    readonly waiters: ((isSaved: boolean) => void)[];
}

/** Operations of a commit besides the condition on the leader key. */
const maxOperations = maxCommitOperations - 1;

/**
 * Time after which an end is no longer written after starts, in milliseconds. While an end waits, its worker is not polled
 * and the leases of its runs, 4.5 s, are not renewed.
 */
const maxEndWaitMs = 1000;

/** Number of operations that a submission takes in a commit: a condition and a put, and a delete if it has ended. */
export function countOperations({ finalState, progressRevision }: SubmissionEntry): number {
    return finalState !== undefined && progressRevision > 0 ? 3 : 2;
}

/**
 * Chooses the submissions of one commit: as many as fit, final states and those with waiting starts first. With a slow
 * store, tasks would otherwise wait to start behind ends that nobody waits for.
 *
 * @param pending submissions in the order in which they were changed
 */
export function takeBatch(pending: readonly PendingSave[], nowMs: number): readonly PendingSave[] {
    const isUrgent = ({ entry, purpose, sinceMs }: PendingSave) =>
        purpose === SavePurpose.start || entry.finalState !== undefined || nowMs - sinceMs >= maxEndWaitMs;
    const ordered = [...pending.filter(isUrgent), ...pending.filter((each) => !isUrgent(each))];
    const batch: PendingSave[] = [];
    let operations = 0;
    for (const each of ordered) {
        operations += countOperations(each.entry);
        if (operations > maxOperations) {
            break;
        }
        batch.push(each);
    }
    return batch;
}
