import { pause } from "../clock";
import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import type { SubmissionEntry } from "../schedule";
import { type Commit, type CommitResult, maxCommitEntries, type Store, type StoreItem } from "../store";
import { decodeRecord, encodeRecord, submissionKey } from "../submissions";
import { encodeProgress, progressKey } from "./progressRecord";

export interface ProgressWriterOptions {
    readonly store: Store;
    readonly tenure: Tenure;
    readonly report: Reporter;
    /** Somebody else has written the duty's key: the right is gone. */
    onFenced(): void;
    /** The end of the submission is in the store and may be shown. */
    onEnded(entry: SubmissionEntry): void;
    /** The store has it as cancelled. */
    onCancelled(entry: SubmissionEntry): void;
}

export interface ProgressWriter {
    /** Resolves once the entry as it is now is in the store; gives false where the tenure ended before. */
    save(entry: SubmissionEntry): Promise<boolean>;
}

interface Pending {
    readonly entry: SubmissionEntry;
    readonly waiters: ((isSaved: boolean) => void)[];
}

/** Pause before a write that got no answer is sent again, in milliseconds. */
const retryMs = 60;

/**
 * Shortest time between two commits, in milliseconds. What comes meanwhile goes into one call: a call is paid for, and
 * a start waits 30 ms longer at most.
 */
const gatherMs = 30;

/** Entries of a commit that one submission takes at most: a condition, a put and a delete. */
const entriesPerSubmission = 3;
const submissionsPerCommit = Math.floor((maxCommitEntries - 1) / entriesPerSubmission);

/**
 * Commits under way at once, each for other submissions. With one alone a slow store, which takes 200 ms an answer, lets
 * an owner of a busy fleet record 75 submissions a second, a tenth of what it has to.
 */
const maxUnderWay = 4;

/**
 * Writes what happened to tasks before anything follows from it.
 *
 * An owner can die at any moment. Its successor knows only the store and what workers list. So a start is recorded
 * before its order leaves: otherwise the successor would start the task again while it runs on a worker that can't be
 * asked. And an end is recorded before the worker may forget it: otherwise a finished task would run a second time.
 * Each write depends on the duty's key and on the record's own revision, so one that arrives late changes nothing.
 */
export function createProgressWriter(opts: ProgressWriterOptions): ProgressWriter {
    const { store, tenure } = opts;
    const pending = new Map<SubmissionEntry, Pending>();
    /** Submissions of the commits that are under way; a later change of one waits for its revision. */
    const underWay = new Set<SubmissionEntry>();
    let commitsUnderWay = 0;
    let committedAtMs = Number.NEGATIVE_INFINITY;
    let timer: NodeJS.Timeout | undefined;

    function schedule(): void {
        const waitMs = committedAtMs + gatherMs - performance.now();
        timer ??= setTimeout(() => {
            timer = undefined;
            commitNext();
        }, Math.max(0, waitMs));
    }

    function commitNext(): void {
        while (commitsUnderWay < maxUnderWay) {
            const group = takeGroup();
            if (group.length === 0) {
                return;
            }
            committedAtMs = performance.now();
            void commitGroup(group);
        }
    }

    /** As many waiting submissions as one commit takes. */
    function takeGroup(): readonly Pending[] {
        const group = [...pending.values()].filter(({ entry }) => !underWay.has(entry)).slice(0, submissionsPerCommit);
        group.forEach(({ entry }) => {
            pending.delete(entry);
            underWay.add(entry);
        });
        return group;
    }

    async function commitGroup(group: readonly Pending[]): Promise<void> {
        commitsUnderWay++;
        const isSaved = await writeGroup(group);
        commitsUnderWay--;
        group.forEach(({ entry }) => underWay.delete(entry));
        group.forEach(({ waiters }) => waiters.forEach((waiter) => waiter(isSaved)));
        if (!isSaved) {
            [...pending.values()].forEach(({ waiters }) => waiters.forEach((waiter) => waiter(false)));
            pending.clear();
        }
        else if (pending.size > 0) {
            schedule();
        }
    }

    async function writeGroup(group: readonly Pending[]): Promise<boolean> {
        while (tenure.isValid()) {
            // What is decided while the call is under way belongs to the next one.
            const endings = new Map(group.map(({ entry }) => [entry, entry.ending]));
            const result = await store.commit(toCommit(group.map(({ entry }) => entry)));
            switch (result.kind) {
                case "committed":
                    noteWritten(endings, result.revision);
                    return true;
                case "conflict":
                    if (!resolveConflict(group, result)) {
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
                        detail: group.length.toString(),
                    });
                    await pause(retryMs);
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
            const { id, route } = entry.submission;
            if (entry.ending === undefined) {
                commit.conditions.push({ key: progressKey(id), revision: entry.progressRevision });
                commit.puts.push({ key: progressKey(id), text: encodeProgress(entry) });
                continue;
            }
            const record = { kind: "final", route, state: entry.ending, endedAtMs: Date.now() } as const;
            commit.conditions.push({ key: submissionKey(id), revision: entry.revision });
            commit.puts.push({ key: submissionKey(id), text: encodeRecord(record) });
            if (entry.progressRevision > 0) {
                commit.deletes.push(progressKey(id));
            }
        }
        return commit;
    }

    function noteWritten(endings: ReadonlyMap<SubmissionEntry, SubmissionEntry["ending"]>, revision: number): void {
        for (const [entry, ending] of endings) {
            if (ending === undefined) {
                entry.progressRevision = revision;
            }
            else {
                entry.revision = revision;
                opts.onEnded(entry);
            }
        }
    }

    /** Gives false where the duty's key is no longer ours. */
    function resolveConflict(
        group: readonly Pending[],
        { items }: Extract<CommitResult, { kind: "conflict"; }>,
    ): boolean {
        const found = new Map(items.map((item) => [item.key, item]));
        if (found.get(tenure.condition.key)?.revision !== tenure.condition.revision) {
            return false;
        }
        for (const { entry } of group) {
            if (entry.ending === undefined) {
                // An earlier write of ours whose answer was lost.
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
                schedule();
            }),
    };
}
