import { type Either, Left, Right } from "purify-ts";
import { pause } from "../clock";
import type { Platform, StoredValue } from "../platform";
import type { CommandRecord } from "../state";
import { applyRecord, emptyAppliedState, maxRecentIds } from "./appliedState";
import { compactLog } from "./compactLog";
import type { AppendFailure } from "./configuration";
import type { History, MergeResult } from "./createHistory";
import { encodeValue } from "./encodeValue";
import { type LogBounds, logKey, type LogValue, parseLog } from "./logValue";
import { removeSnapshot } from "./snapshot";

export interface AppenderOptions {
    readonly platform: Platform;
    readonly history: History;
    readonly bounds: LogBounds;
    /** Time limit for appending one command, retries included, in milliseconds. */
    readonly appendTimeoutMs: number;
    /** Gives numbers between 0 and 1, for the jitter of retries. */
    readonly random: () => number;
    /** Merges a log that was read into the history; reads its snapshot first if the history is behind it. */
    readonly mergeLog: (log: LogValue) => Promise<MergeResult>;
    /** Called with each log that this entry has written, once it is durable. */
    readonly onWritten: (stored: StoredValue) => void;
}

/** Appends records to the log by compare-and-swap; records that wait at the same time share a write. */
export interface Appender {
    /** Appends one record and returns its revision. */
    append(record: CommandRecord): Promise<Either<AppendFailure, number>>;
    /** Caches a log that the watch brought, so that the next write needs no read. */
    observe(stored: StoredValue): void;
    /** Appends the records of this entry that the log lacks, after the platform was restored to an older value. */
    restore(): void;
}

interface Pending {
    readonly record: CommandRecord;
    readonly endAtMs: number;
    settle(result: Either<AppendFailure, number>): void;
    /**
     * The key's revision that a write with a lost response expected. The write may still take effect while the key has
     * this revision. `undefined` if no outcome is open.
     */
    unsettledKeyRevision?: number | undefined;
    /** The revision of this entry's history when that write was sent. */
    sentAtRevision?: number | undefined;
}

/**
 * A log with the revision of its key. Both are passed together, as the watch may bring a newer log while a round waits.
 * A write based on the older log that expects the newer revision would overwrite records that others have appended.
 */
interface ReadLog {
    readonly log: LogValue;
    readonly keyRevision: number;
}

/** Result of one round: `again` means that it must be repeated, for instance after a conflict or a lost response. */
type RoundResult = "done" | "again" | { readonly kind: "unavailable" | "rejected"; readonly detail: string; };

/** Limit of records in one write. */
const maxBatchRecords = 32;
const maxBackoffMs = 400;

export function createAppender(opts: AppenderOptions): Appender {
    const { platform, history } = opts;
    const queue: Pending[] = [];
    let stored: StoredValue | undefined;
    let isProcessing = false;
    let needsRestore = false;
    let batchLimit = maxBatchRecords;

    async function processQueue(): Promise<void> {
        if (isProcessing) {
            return;
        }
        isProcessing = true;
        let rounds = 0;
        while (queue.length > 0 || needsRestore) {
            const batch = queue.slice(0, batchLimit);
            const result = await runRound(batch, rounds > 0 || needsRestore);
            settleFailed(batch, result);
            removeSettled();
            if (result === "done") {
                [rounds, needsRestore, batchLimit] = [0, false, maxBatchRecords];
            }
            else {
                await backOff(++rounds);
            }
        }
        isProcessing = false;
    }

    /** Exponential backoff with jitter; without jitter, entries that conflicted once would conflict again. */
    function backOff(rounds: number): Promise<void> {
        const ms = opts.random() * Math.min(maxBackoffMs, 10 * 2 ** rounds);
        return pause(ms);
    }

    function removeSettled(): void {
        const unsettled = queue.filter((pending) => !settled.has(pending));
        queue.splice(0, queue.length, ...unsettled);
    }

    const settled = new WeakSet<Pending>();

    function settle(pending: Pending, result: Either<AppendFailure, number>): void {
        settled.add(pending);
        pending.settle(result);
    }

    /**
     * Settles records that failed in this round or are past their deadline. A record whose write may still take effect
     * is never reported as rejected or unavailable; at its deadline its outcome is `unknown`.
     */
    function settleFailed(batch: readonly Pending[], result: RoundResult): void {
        for (const pending of batch.filter((each) => !settled.has(each))) {
            const isExpired = Date.now() >= pending.endAtMs;
            if (pending.unsettledKeyRevision !== undefined) {
                if (isExpired) {
                    settle(pending, Left({ kind: "unknown", detail: "the platform's answers were lost" }));
                }
            }
            else if (typeof result === "object") {
                settle(pending, Left(result));
            }
            else if (isExpired) {
                settle(
                    pending,
                    Left({
                        kind: "unavailable",
                        detail: "the log could not be brought up to date and written in time",
                    }),
                );
            }
        }
    }

    async function runRound(batch: readonly Pending[], isFresh: boolean): Promise<RoundResult> {
        const read = await readLog(isFresh);
        if (read === undefined) {
            return { kind: "unavailable", detail: "the platform does not answer, or its log cannot be read" };
        }
        const merged = await opts.mergeLog(read.log);
        if (merged.kind === "behind") {
            // A newer compaction removed the snapshot while it was read, or the platform failed: read the log again.
            return "again";
        }
        const conflict = describeConflict(merged);
        if (conflict !== undefined) {
            return { kind: "unavailable", detail: conflict };
        }
        settleAppended(batch, read.keyRevision);
        const unsettled = batch.filter((each) => !settled.has(each));
        const isLogBehind = read.log.baseRevision + read.log.records.length < history.revision();
        if (unsettled.length === 0) {
            return needsRestore && isLogBehind ? write(read, []) : "done";
        }
        return writeBatch(read, unsettled, isFresh);
    }

    async function readLog(isFresh: boolean): Promise<ReadLog | undefined> {
        if (isFresh || stored === undefined) {
            const read = await platform.read(logKey);
            if (read.isLeft()) {
                return undefined;
            }
            stored = read.orDefault(undefined) ?? { text: "", revision: 0 };
        }
        const log = parseLog(stored.text);
        return log === undefined ? undefined : { log, keyRevision: stored.revision };
    }

    /**
     * Settles records with a lost response that the history contains. The others are written again once their write can
     * no longer take effect. If more than `maxRecentIds` records followed meanwhile, the outcome is unknown.
     */
    function settleAppended(batch: readonly Pending[], keyRevision: number): void {
        for (const pending of batch) {
            const revision = history.revisionOf(pending.record.id);
            if (revision !== undefined) {
                settle(pending, Right(revision));
            }
            else if (pending.unsettledKeyRevision !== undefined && keyRevision > pending.unsettledKeyRevision) {
                const passed = history.revision() - (pending.sentAtRevision ?? 0);
                if (passed > maxRecentIds) {
                    settle(pending, Left({ kind: "unknown", detail: "too much has been written since" }));
                }
                pending.unsettledKeyRevision = undefined;
            }
        }
    }

    async function writeBatch(read: ReadLog, batch: readonly Pending[], isFresh: boolean): Promise<RoundResult> {
        let next = history.applied() ?? emptyAppliedState;
        const applicable: Pending[] = [];
        const rejected: [Pending, AppendFailure][] = [];
        for (const pending of batch) {
            const applied = applyRecord(next, pending.record);
            applied.ifRight((value) => {
                next = value;
                applicable.push(pending);
            });
            applied.ifLeft((failure) => rejected.push([pending, failure]));
        }
        if (applicable.length === 0 && !isFresh) {
            // The watch may lag: a key that another entry has just granted would be rejected as unknown. Records are
            // only rejected after a read.
            return "again";
        }
        if (applicable.length === 0) {
            const safeToReject = rejected.filter(([pending]) => pending.unsettledKeyRevision === undefined);
            safeToReject.forEach(([pending, failure]) => settle(pending, Left(failure)));
            return safeToReject.length === rejected.length ? "done" : "again";
        }
        const written = await write(read, applicable);
        if (written === "done") {
            rejected.forEach(([pending, failure]) => settle(pending, Left(failure)));
        }
        return written;
    }

    async function write({ log, keyRevision }: ReadLog, applicable: readonly Pending[]): Promise<RoundResult> {
        const tail = history.recordsAfter(log.baseRevision + log.records.length);
        const added = applicable.map(({ record }) => record);
        const compacted = await compactLog({
            platform,
            history,
            bounds: opts.bounds,
            log,
            missing: tail?.records,
            added,
        });
        if (compacted === undefined) {
            return { kind: "unavailable", detail: "the platform does not take a snapshot" };
        }
        const { next, replaced } = compacted;
        const text = encodeValue(next);
        const sentAtRevision = history.revision();
        const swapped = await platform.compareAndSwap(logKey, keyRevision, text);
        return swapped.caseOf<RoundResult>({
            Left: (failure) => {
                switch (failure.kind) {
                    case "conflict":
                        return "again";
                    case "unknown":
                        applicable.forEach((pending) => {
                            pending.unsettledKeyRevision = Math.max(pending.unsettledKeyRevision ?? 0, keyRevision);
                            pending.sentAtRevision ??= sentAtRevision;
                        });
                        return "again";
                    case "unavailable":
                        return { kind: "unavailable", detail: failure.detail };
                    case "tooLarge":
                        batchLimit = 1;
                        return applicable.length > 1
                            ? "again"
                            : { kind: "rejected", detail: `the log would take ${failure.sizeBytes} bytes` };
                }
            },
            Right: (revision) => {
                stored = { text, revision };
                opts.onWritten(stored);
                applicable.forEach((pending) => {
                    const at = next.records.findIndex(({ id }) => id === pending.record.id);
                    settle(pending, Right(next.baseRevision + at + 1));
                });
                if (replaced !== undefined) {
                    void removeSnapshot(platform, replaced);
                }
                return "done";
            },
        });
    }

    return {
        append: (record) =>
            new Promise((settleWith) => {
                queue.push({ record, endAtMs: Date.now() + opts.appendTimeoutMs, settle: settleWith });
                void processQueue();
            }),
        observe(value) {
            stored = value;
        },
        restore() {
            needsRestore = true;
            void processQueue();
        },
    };
}

/** Why no record may be appended to the log that was read; `undefined` if it agrees with this entry's history. */
function describeConflict(merged: MergeResult): string | undefined {
    switch (merged.kind) {
        case "advanced":
        case "nothingNew":
            return undefined;
        case "behind":
            return "the snapshot that the log names cannot be read";
        case "diverged":
            return `the log contradicts this entry's history at revision ${merged.revision}`;
        case "refused":
            return `revision ${merged.revision} cannot be applied by this version: ${merged.detail}`;
    }
}
