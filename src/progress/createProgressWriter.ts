import { pause } from "../clock";
import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import { recordProgressBytes, startedTasksOf, type SubmissionEntry } from "../schedule";
import type { Commit, CommitResult, Store, StoreItem } from "../store";
import { decodeRecord, encodeRecord, type RemainingRun, type RemainingRuns, submissionKey } from "../submissions";
import { createCommitLimit } from "./createCommitLimit";
import { encodeProgress, progressKey } from "./progressRecord";
import { type PendingSave, SavePurpose, takeBatch } from "./takeBatch";

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
    save(entry: SubmissionEntry, purpose: SavePurpose): Promise<boolean>;
}

/** Delay before a failed or unanswered commit is retried, in milliseconds. */
const retryDelayMs = 60;

/** Submissions of a commit, with the final state to write; `undefined`: their progress is written. */
type FinalStates = ReadonlyMap<SubmissionEntry, SubmissionEntry["finalState"]>;

/** Minimum interval between two log events on the limit of commits, in milliseconds. */
const reportIntervalMs = 1000;

/**
 * Minimum interval between two commits, in milliseconds. Changes within it are batched into one call, because each call
 * is paid for. A start waits at most 30 ms longer for it.
 */
const batchIntervalMs = 30;

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
    const limit = createCommitLimit();
    let reportedLimit = limit.current();
    let reportedAtMs = Number.NEGATIVE_INFINITY;
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
        while (activeCommits < limit.current()) {
            const batch = takePending();
            if (batch.length === 0) {
                return;
            }
            lastCommitAtMs = performance.now();
            void commitBatch(batch);
        }
    }

    function takePending(): readonly PendingSave[] {
        const batch = takeBatch(
            [...pending.values()].filter(({ entry }) => !committing.has(entry)),
            performance.now(),
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
        // A final state that is decided from now on is written by a later commit, so that this one does not exceed the
        // store's limit of operations when it is sent again.
        const finalStates: FinalStates = new Map(batch.map(({ entry }) => [entry, entry.finalState]));
        while (tenure.isValid()) {
            const sentAtMs = performance.now();
            const result = await store.commit(toCommit(finalStates));
            recordAnswer(result, performance.now() - sentAtMs);
            switch (result.kind) {
                case "committed":
                    applyRevision(finalStates, result.revision);
                    return true;
                case "conflict":
                    if (!resolveConflict(finalStates, result)) {
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

    function recordAnswer(result: CommitResult, tookMs: number): void {
        switch (result.kind) {
            case "committed":
            case "conflict":
                limit.recordAnswer(tookMs);
                return reportLimit();
            case "unavailable":
                if (result.isRateLimited === true) {
                    limit.recordRateLimited();
                }
                return reportLimit();
            case "leaseEnded":
            case "unknown":
        }
    }

    function reportLimit(): void {
        const current = limit.current();
        if (current !== reportedLimit && performance.now() - reportedAtMs >= reportIntervalMs) {
            reportedLimit = current;
            reportedAtMs = performance.now();
            opts.report({
                kind: "commitLimit",
                commits: current,
                answerMs: Math.round(limit.meanAnswerMs()),
                waiting: pending.size,
            });
        }
    }

    function toCommit(finalStates: FinalStates): Commit {
        const commit = { conditions: [tenure.condition], puts: [], deletes: [] } as {
            conditions: Commit["conditions"][number][];
            puts: Commit["puts"][number][];
            deletes: string[];
        };
        for (const [entry, finalState] of finalStates) {
            const { id, route, tenant, acceptedAtMs } = entry.submission;
            if (finalState === undefined) {
                const text = encodeProgress(entry);
                recordProgressBytes(entry, Buffer.byteLength(text));
                commit.conditions.push({ key: progressKey(id), revision: entry.progressRevision });
                commit.puts.push({ key: progressKey(id), text });
                continue;
            }
            const text = encodeRecord({
                kind: "final",
                route,
                state: finalState,
                endedAtMs: Date.now(),
                tenant,
                acceptedAtMs,
                ...listRemaining(entry),
            });
            commit.conditions.push({ key: submissionKey(id), revision: entry.revision });
            commit.puts.push({ key: submissionKey(id), text });
            if (entry.progressRevision > 0) {
                commit.deletes.push(progressKey(id));
            }
        }
        return commit;
    }

    function applyRevision(finalStates: FinalStates, revision: number): void {
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
        finalStates: FinalStates,
        { items }: Extract<CommitResult, { kind: "conflict"; }>,
    ): boolean {
        const found = new Map(items.map((item) => [item.key, item]));
        if (found.get(tenure.condition.key)?.revision !== tenure.condition.revision) {
            return false;
        }
        for (const [entry, finalState] of finalStates) {
            if (finalState === undefined) {
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
        save: (entry, purpose) =>
            new Promise((resolve) => {
                const known = pending.get(entry);
                if (known === undefined) {
                    pending.set(entry, { entry, sinceMs: performance.now(), purpose, waiters: [resolve] });
                }
                else {
                    known.waiters.push(resolve);
                    known.purpose = purpose === SavePurpose.start ? purpose : known.purpose;
                }
                scheduleCommit();
            }),
    };
}

/**
 * Runs that have not ended, for the final record. A leader that took the submission for ended would not count them against
 * the limit of their account.
 */
function listRemaining(entry: SubmissionEntry): { readonly remaining?: RemainingRuns; } {
    const runs = [...startedTasksOf(entry)].flatMap((task) =>
        task.runs.map(({ number, worker }): RemainingRun => [
            task.occurrence,
            task.stepNumber,
            task.index,
            number,
            worker.id,
            worker.bornMs,
        ])
    );
    return runs.length === 0 ? {} : { remaining: { submission: { ...entry.submission, payload: "" }, runs } };
}
