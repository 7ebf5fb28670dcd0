import { pause } from "../clock";
import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import type { SubmissionEntry } from "../schedule";
import { type Commit, type CommitResult, maxCommitOperations, type Store, type StoreItem } from "../store";
import { decodeRecord, encodeRecord, submissionKey } from "../submissions";
import { encodeProgress, progressKey } from "./progressRecord";

export interface ProgressWriterOptions {
    readonly store: Store;
    readonly tenure: Tenure;
    readonly report: Reporter;
    /** Another entry daemon has written the leader key: this one is no longer the leader. */
    onFenced(): void;
    /** The submission's final state is in the store and may be made visible. */
    onEnded(entry: SubmissionEntry): void;
    /** The submission's record in the store is marked as cancelled. */
    onCancelled(entry: SubmissionEntry): void;
}

export interface ProgressWriter {
    /** Resolves to true once the entry's present state is in the store; to false if the tenure ends first. */
    save(entry: SubmissionEntry): Promise<boolean>;
}

/** A submission with changes that wait for a commit. */
interface PendingSave {
    readonly entry: SubmissionEntry;
    readonly waiters: ((isSaved: boolean) => void)[];
}

/** Delay before a failed or unanswered commit is retried, in milliseconds. */
const retryDelayMs = 60;

/**
 * Minimum interval between two commits, in milliseconds. Changes within it are batched into one call, because each call
 * is paid for. A start waits at most 30 ms longer for it.
 */
const batchIntervalMs = 30;

/** Maximum number of operations in a commit for one submission: a condition, a put and a delete. */
const operationsPerSubmission = 3;
const submissionsPerCommit = Math.floor((maxCommitOperations - 1) / operationsPerSubmission);

/**
 * Maximum number of concurrent commits, each for different submissions. With a slow store, which takes 200 ms per
 * answer, one commit at a time would limit the leader of a busy fleet to 75 submissions a second, a tenth of what it
 * has to record.
 */
const maxConcurrentCommits = 4;

/**
 * Writes the progress of tasks to the store before the leader acts on it.
 *
 * A leader can crash at any time. Its successor knows only the store and the workers' run lists. So a start is recorded
 * before its request is sent; otherwise the successor would start the task again while it runs on a worker that can't
 * be reached. An end is recorded before it is acknowledged to the worker, which may then forget it; otherwise a
 * finished task would run a second time. Each commit is conditional on the revisions of the leader key and of the
 * record that it replaces, so a commit that arrives late changes nothing.
 */
export function createProgressWriter(opts: ProgressWriterOptions): ProgressWriter {
    const { store, tenure } = opts;
    const pending = new Map<SubmissionEntry, PendingSave>();
    /** Submissions in unfinished commits. A later change of one waits, because it needs the revision of that commit. */
    const committing = new Set<SubmissionEntry>();
    let activeCommits = 0;
    let lastCommitAtMs = Number.NEGATIVE_INFINITY;
    let timer: NodeJS.Timeout | undefined;

    function scheduleCommit(): void {
        const waitMs = lastCommitAtMs + batchIntervalMs - performance.now();
        timer ??= setTimeout(() => {
            timer = undefined;
            startCommits();
        }, Math.max(0, waitMs));
    }

    function startCommits(): void {
        while (activeCommits < maxConcurrentCommits) {
            const batch = takeBatch();
            if (batch.length === 0) {
                return;
            }
            lastCommitAtMs = performance.now();
            void commitBatch(batch);
        }
    }

    /** Takes as many pending submissions as fit into one commit. */
    function takeBatch(): readonly PendingSave[] {
        const batch = [...pending.values()].filter(({ entry }) => !committing.has(entry)).slice(
            0,
            submissionsPerCommit,
        );
        batch.forEach(({ entry }) => {
            pending.delete(entry);
            committing.add(entry);
        });
        return batch;
    }

    async function commitBatch(batch: readonly PendingSave[]): Promise<void> {
        activeCommits++;
        const isSaved = await writeBatch(batch);
        activeCommits--;
        batch.forEach(({ entry }) => committing.delete(entry));
        batch.forEach(({ waiters }) => waiters.forEach((waiter) => waiter(isSaved)));
        if (!isSaved) {
            [...pending.values()].forEach(({ waiters }) => waiters.forEach((waiter) => waiter(false)));
            pending.clear();
        }
        else if (pending.size > 0) {
            scheduleCommit();
        }
    }

    async function writeBatch(batch: readonly PendingSave[]): Promise<boolean> {
        while (tenure.isValid()) {
            // A final state that is decided during this call is written by the next one.
            const finalStates = new Map(batch.map(({ entry }) => [entry, entry.finalState]));
            const result = await store.commit(toCommit(batch.map(({ entry }) => entry)));
            switch (result.kind) {
                case "committed":
                    applyRevision(finalStates, result.revision);
                    return true;
                case "conflict":
                    if (!resolveConflict(batch, result)) {
                        opts.onFenced();
                        return false;
                    }
                    break;
                case "unavailable":
                case "unknown":
                case "leaseEnded":
                    opts.report({
                        kind: "note",
                        slice: "progress",
                        message: result.kind,
                        detail: batch.length.toString(),
                    });
                    await pause(retryDelayMs);
            }
        }
        return false;
    }

    function toCommit(entries: readonly SubmissionEntry[]): Commit {
        const commit = { conditions: [tenure.condition], puts: [], deletes: [] } as {
            conditions: Commit["conditions"][number][];
            puts: Commit["puts"][number][];
            deletes: string[];
        };
        for (const entry of entries) {
            const { id, route, tenant, acceptedAtMs } = entry.submission;
            if (entry.finalState === undefined) {
                commit.conditions.push({ key: progressKey(id), revision: entry.progressRevision });
                commit.puts.push({ key: progressKey(id), text: encodeProgress(entry) });
                continue;
            }
            const text = encodeRecord({
                kind: "final",
                route,
                state: entry.finalState,
                endedAtMs: Date.now(),
                tenant,
                acceptedAtMs,
            });
            commit.conditions.push({ key: submissionKey(id), revision: entry.revision });
            commit.puts.push({ key: submissionKey(id), text });
            if (entry.progressRevision > 0) {
                commit.deletes.push(progressKey(id));
            }
        }
        return commit;
    }

    function applyRevision(
        finalStates: ReadonlyMap<SubmissionEntry, SubmissionEntry["finalState"]>,
        revision: number,
    ): void {
        for (const [entry, finalState] of finalStates) {
            if (finalState === undefined) {
                entry.progressRevision = revision;
            }
            else {
                entry.revision = revision;
                opts.onEnded(entry);
            }
        }
    }

    /** Adopts the revisions found in the store; false if another entry daemon has written the leader key. */
    function resolveConflict(
        batch: readonly PendingSave[],
        { items }: Extract<CommitResult, { kind: "conflict"; }>,
    ): boolean {
        const found = new Map(items.map((item) => [item.key, item]));
        if (found.get(tenure.condition.key)?.revision !== tenure.condition.revision) {
            return false;
        }
        for (const { entry } of batch) {
            if (entry.finalState === undefined) {
                // Only this leader writes the record: an earlier commit succeeded, but its answer was lost.
                entry.progressRevision = found.get(progressKey(entry.submission.id))?.revision ?? 0;
            }
            else {
                adoptRecord(entry, found.get(submissionKey(entry.submission.id)));
            }
        }
        return true;
    }

    function adoptRecord(entry: SubmissionEntry, item: StoreItem | undefined): void {
        const record = item === undefined ? undefined : decodeRecord(item.text);
        if (item === undefined || record === undefined) {
            return;
        }
        entry.revision = item.revision;
        if (record.kind === "open" && record.isCancelled && !entry.isCancelled) {
            opts.onCancelled(entry);
        }
    }

    return {
        save: (entry) =>
            new Promise((resolve) => {
                const known = pending.get(entry);
                if (known === undefined) {
                    pending.set(entry, { entry, waiters: [resolve] });
                }
                else {
                    known.waiters.push(resolve);
                }
                scheduleCommit();
            }),
    };
}
