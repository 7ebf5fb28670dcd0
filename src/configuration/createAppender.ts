import { type Either, Left, Right } from "purify-ts";
import { pause } from "../clock";
import type { Platform, StoredValue } from "../platform";
import type { CommandRecord } from "../state";
import { applyRecord, emptyApplied, maxRecentIds } from "./applied";
import type { AppendFailure } from "./configuration";
import type { History, Offer } from "./createHistory";
import { cutLog } from "./cutLog";
import { encodeValue } from "./encodeValue";
import { type LogBounds, logKey, type LogValue, parseLog } from "./logValue";
import { removeSnapshot } from "./snapshot";

export interface AppenderOptions {
    readonly platform: Platform;
    readonly history: History;
    readonly bounds: LogBounds;
    /** How long one command is tried, in milliseconds. */
    readonly appendMs: number;
    readonly random: () => number;
    /** Takes in a log that was read, with its snapshot where that is needed. */
    readonly absorb: (log: LogValue) => Promise<Offer>;
    /** Called with each log that this entry wrote, once it is durable. */
    readonly onWritten: (stored: StoredValue) => void;
}

/** Adds records to the log by compare-and-swap, many in one write where they come together. */
export interface Appender {
    append(record: CommandRecord): Promise<Either<AppendFailure, number>>;
    /** Takes in a log that the watch brought, so that the next write needs no read. */
    learn(stored: StoredValue): void;
    /** Writes what this entry knows over an older log; for a platform that went back. */
    restore(): void;
}

interface Pending {
    readonly record: CommandRecord;
    readonly endAtMs: number;
    settle(result: Either<AppendFailure, number>): void;
    /** The key's revision that a write with a lost answer expected; it may take effect while the key stands there. */
    unsettledAt?: number | undefined;
    /** This entry's revision when that write was sent. */
    sentAtRevision?: number | undefined;
}

/**
 * A log with the key's revision it was read at. The two stay together: the watch may bring a newer log while a round
 * waits, and the older log written against the newer revision would overwrite what others had added.
 */
interface ReadLog {
    readonly log: LogValue;
    readonly keyRevision: number;
}

/** What one round came to: `again` where somebody else was first or the answer was lost. */
type Round = "done" | "again" | { readonly kind: "unavailable" | "rejected"; readonly detail: string; };

const maxBatchRecords = 32;
const maxBackoffMs = 400;

export function createAppender(opts: AppenderOptions): Appender {
    const { platform, history } = opts;
    const queue: Pending[] = [];
    let stored: StoredValue | undefined;
    let isPumping = false;
    let mustRestore = false;
    let batchLimit = maxBatchRecords;

    async function pump(): Promise<void> {
        if (isPumping) {
            return;
        }
        isPumping = true;
        let rounds = 0;
        while (queue.length > 0 || mustRestore) {
            const batch = queue.slice(0, batchLimit);
            const result = await tryRound(batch, rounds > 0 || mustRestore);
            giveUp(batch, result);
            drain();
            if (result === "done") {
                [rounds, mustRestore, batchLimit] = [0, false, maxBatchRecords];
            }
            else {
                await backOff(++rounds);
            }
        }
        isPumping = false;
    }

    /** Without the random part, entries that met in one conflict would meet again in the next. */
    function backOff(rounds: number): Promise<void> {
        const ms = opts.random() * Math.min(maxBackoffMs, 10 * 2 ** rounds);
        return pause(ms);
    }

    function drain(): void {
        const open = queue.filter((pending) => !settled.has(pending));
        queue.splice(0, queue.length, ...open);
    }

    const settled = new WeakSet<Pending>();

    function settle(pending: Pending, result: Either<AppendFailure, number>): void {
        settled.add(pending);
        pending.settle(result);
    }

    /** A record whose write may still take effect is never called refused or unavailable. */
    function giveUp(batch: readonly Pending[], result: Round): void {
        for (const pending of batch.filter((each) => !settled.has(each))) {
            const isOver = Date.now() >= pending.endAtMs;
            if (pending.unsettledAt !== undefined) {
                if (isOver) {
                    settle(pending, Left({ kind: "unknown", detail: "the platform's answers were lost" }));
                }
            }
            else if (typeof result === "object") {
                settle(pending, Left(result));
            }
            else if (isOver) {
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

    async function tryRound(batch: readonly Pending[], isFresh: boolean): Promise<Round> {
        const read = await readLog(isFresh);
        if (read === undefined) {
            return { kind: "unavailable", detail: "the platform does not answer, or its log cannot be read" };
        }
        const offer = await opts.absorb(read.log);
        if (offer.kind === "behind") {
            // The snapshot was removed by a newer cut while it was read, or the platform failed: look again.
            return "again";
        }
        const contradiction = describeContradiction(offer);
        if (contradiction !== undefined) {
            return { kind: "unavailable", detail: contradiction };
        }
        settleKnown(batch, read.keyRevision);
        const open = batch.filter((each) => !settled.has(each));
        const isOlder = read.log.baseRevision + read.log.records.length < history.revision();
        if (open.length === 0) {
            return mustRestore && isOlder ? write(read, []) : "done";
        }
        return writeBatch(read, open, isFresh);
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

    /** Finds records whose answer was lost, and clears those whose write can no longer take effect. */
    function settleKnown(batch: readonly Pending[], keyRevision: number): void {
        for (const pending of batch) {
            const revision = history.revisionOf(pending.record.id);
            if (revision !== undefined) {
                settle(pending, Right(revision));
            }
            else if (pending.unsettledAt !== undefined && keyRevision > pending.unsettledAt) {
                const passed = history.revision() - (pending.sentAtRevision ?? 0);
                if (passed > maxRecentIds) {
                    settle(pending, Left({ kind: "unknown", detail: "too much has been written since" }));
                }
                pending.unsettledAt = undefined;
            }
        }
    }

    async function writeBatch(read: ReadLog, batch: readonly Pending[], isFresh: boolean): Promise<Round> {
        let next = history.applied() ?? emptyApplied;
        const taken: Pending[] = [];
        const rejected: [Pending, AppendFailure][] = [];
        for (const pending of batch) {
            const applied = applyRecord(next, pending.record);
            applied.ifRight((value) => {
                next = value;
                taken.push(pending);
            });
            applied.ifLeft((failure) => rejected.push([pending, failure]));
        }
        if (taken.length === 0 && !isFresh) {
            // The watch may lag: a key granted elsewhere a moment ago would be called unknown. Only a read refuses.
            return "again";
        }
        if (taken.length === 0) {
            const certain = rejected.filter(([pending]) => pending.unsettledAt === undefined);
            certain.forEach(([pending, failure]) => settle(pending, Left(failure)));
            return certain.length === rejected.length ? "done" : "again";
        }
        const written = await write(read, taken);
        if (written === "done") {
            rejected.forEach(([pending, failure]) => settle(pending, Left(failure)));
        }
        return written;
    }

    async function write({ log, keyRevision }: ReadLog, taken: readonly Pending[]): Promise<Round> {
        const tail = history.after(log.baseRevision + log.records.length);
        const added = taken.map(({ record }) => record);
        const cut = await cutLog({ platform, history, bounds: opts.bounds, log, missing: tail?.records, added });
        if (cut === undefined) {
            return { kind: "unavailable", detail: "the platform does not take a snapshot" };
        }
        const { next, replaced } = cut;
        const text = encodeValue(next);
        const sentAtRevision = history.revision();
        const swapped = await platform.compareAndSwap(logKey, keyRevision, text);
        return swapped.caseOf<Round>({
            Left: (failure) => {
                switch (failure.kind) {
                    case "conflict":
                        return "again";
                    case "unknown":
                        taken.forEach((pending) => {
                            pending.unsettledAt = Math.max(pending.unsettledAt ?? 0, keyRevision);
                            pending.sentAtRevision ??= sentAtRevision;
                        });
                        return "again";
                    case "unavailable":
                        return { kind: "unavailable", detail: failure.detail };
                    case "tooLarge":
                        batchLimit = 1;
                        return taken.length > 1
                            ? "again"
                            : { kind: "rejected", detail: `the log would take ${failure.sizeBytes} bytes` };
                }
            },
            Right: (revision) => {
                stored = { text, revision };
                opts.onWritten(stored);
                taken.forEach((pending) => {
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
                queue.push({ record, endAtMs: Date.now() + opts.appendMs, settle: settleWith });
                void pump();
            }),
        learn(value) {
            stored = value;
        },
        restore() {
            mustRestore = true;
            void pump();
        },
    };
}

/** Why nothing may be written on top of the log that was read. */
function describeContradiction(offer: Offer): string | undefined {
    switch (offer.kind) {
        case "advanced":
        case "nothingNew":
            return undefined;
        case "behind":
            return "the snapshot that the log names cannot be read";
        case "diverged":
            return `the log contradicts this entry's history at revision ${offer.revision}`;
        case "refused":
            return `revision ${offer.revision} cannot be applied by this version: ${offer.detail}`;
    }
}
