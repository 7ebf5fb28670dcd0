import type { Tenure } from "../duties";
import { progressKey } from "../progress";
import { type CommitResult, maxCommitOperations, type Store } from "../store";
import { submissionKey } from "../submissions";

/** An ended submission whose records are to be removed. */
export interface EndedSubmission {
    readonly id: string;
    /** Revision of its final record. */
    readonly revision: number;
}

export interface RecordRemoverOptions {
    readonly store: Pick<Store, "commit">;
    readonly tenure: Tenure;
    /** Takes at most `maxCount` submissions whose records have expired. Each is taken once. */
    takeExpired(maxCount: number): readonly EndedSubmission[];
}

/** Removes the records of submissions that ended long ago. */
export interface RecordRemover {
    /** Removes what has expired, unless an earlier removal is in progress. */
    run(): Promise<void>;
}

/** Each submission takes a condition and two deletes, and each commit the condition of the tenure. */
const maxPerCommit = Math.floor((maxCommitOperations - 1) / 3);

/** Most commits of one run. */
const maxCommitsPerRun = 2;

/**
 * Creates a remover whose commits are conditional on the revisions of the final records. A client may submit under the
 * same id again once the record is gone, and a removal that is carried out late must not remove that submission.
 */
export function createRecordRemover({ store, tenure, takeExpired }: RecordRemoverOptions): RecordRemover {
    let pending: readonly EndedSubmission[] = [];
    let isRunning = false;

    function removeBatch(batch: readonly EndedSubmission[]): Promise<CommitResult> {
        return store.commit({
            conditions: [
                tenure.condition,
                ...batch.map(({ id, revision }) => ({ key: submissionKey(id), revision })),
            ],
            puts: [],
            // The progress may have been written late, after the submission had ended.
            deletes: batch.flatMap(({ id }) => [submissionKey(id), progressKey(id)]),
        });
    }

    /** Submissions whose removal has to be repeated. */
    function listRemaining(batch: readonly EndedSubmission[], result: CommitResult): readonly EndedSubmission[] {
        switch (result.kind) {
            case "committed":
                return [];
            case "conflict": {
                const revisions = new Map(result.items.map(({ key, revision }) => [key, revision]));
                return batch.filter(({ id, revision }) => revisions.get(submissionKey(id)) === revision);
            }
            case "unavailable":
            case "unknown":
            case "leaseEnded":
                return batch;
        }
    }

    async function removeExpired(): Promise<void> {
        for (let commits = 0; commits < maxCommitsPerRun && tenure.isValid(); commits++) {
            const batch = [...pending, ...takeExpired(maxPerCommit - pending.length)];
            if (batch.length === 0) {
                return;
            }
            pending = batch;
            const result = await removeBatch(batch);
            pending = listRemaining(batch, result);
            if (result.kind !== "committed") {
                return;
            }
        }
    }

    return {
        async run() {
            if (!isRunning) {
                isRunning = true;
                await removeExpired();
                isRunning = false;
            }
        },
    };
}
