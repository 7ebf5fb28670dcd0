import { pause } from "../clock";
import type { CommitResult, Store, StoreItem } from "../store";
import { maxCommitOperations } from "../store";

/** A conditional write: `key` has to be at `revision`, where 0 means that it must not exist. */
export interface RecordWrite {
    readonly key: string;
    readonly revision: number;
    readonly text: string;
}

/**
 * Outcome of a write.
 *
 * - `written`: the record is in the store.
 * - `conflict`: the key is at another revision. `item` is the present item, `undefined` where the key doesn't exist.
 * - `notWritten`: the record is not in the store and will not get there.
 * - `unknown`: the deadline passed with a call unanswered; the record may be in the store, or get there later.
 */
export type WriteOutcome =
    | { readonly kind: "written"; readonly revision: number; }
    | { readonly kind: "conflict"; readonly item: StoreItem | undefined; }
    | { readonly kind: "notWritten"; readonly detail: string; }
    | { readonly kind: "unknown"; readonly detail: string; };

export interface RecordWriter {
    /** Retries until the deadline, a reading of the monotonic clock in milliseconds. */
    write(write: RecordWrite, deadlineMs: number): Promise<WriteOutcome>;
    /**
     * Settles all writes now: those of which no call may have arrived at the store as `notWritten`, the others as
     * `unknown`. For a store that has stopped answering.
     */
    abandonAll(detail: string): void;
}

interface PendingWrite {
    readonly write: RecordWrite;
    readonly deadlineMs: number;
    /** An earlier call with this write got no answer: the record may be in the store, or get there later. */
    mayBeWritten: boolean;
    settle(outcome: WriteOutcome): void;
}

/** Each write takes two operations of a commit, a condition and a put. */
const writesPerCommit = maxCommitOperations / 2;

/** Pause before writes whose call failed are sent again, in milliseconds. */
const retryMs = 100;

/** Writes this close to their deadline are abandoned, in milliseconds: one call takes about 10 ms, network included. */
const latencyMarginMs = 30;

/**
 * Writes records in batches: one commit is in flight at a time, and the next one takes the writes that arrived meanwhile.
 * In a burst of submissions one call stores up to 16 of them; a single write is sent without delay.
 *
 * @param isStoreLost while it returns true, writes are settled as `notWritten` at once
 * @param onUnanswered called with the writes of each commit without an answer
 */
export function createRecordWriter(
    store: Store,
    steadyMs: () => number,
    isStoreLost: () => boolean = () => false,
    onUnanswered: (writes: readonly RecordWrite[]) => void = () => undefined,
): RecordWriter {
    let queue: PendingWrite[] = [];
    let isFlushing = false;
    /** Writes of the commit in flight. */
    let sent: readonly PendingWrite[] = [];
    /** Ends the wait for the commit in flight. */
    let endWait = (): void => undefined;

    async function flush(): Promise<void> {
        if (isFlushing) {
            return;
        }
        isFlushing = true;
        while (queue.length > 0) {
            abandonOverdue();
            const batch = queue.slice(0, writesPerCommit);
            queue = queue.slice(writesPerCommit);
            if (batch.length > 0) {
                await writeBatch(batch);
            }
        }
        isFlushing = false;
    }

    function abandonOverdue(): void {
        const latestMs = steadyMs() + latencyMarginMs;
        queue.filter(({ deadlineMs }) => deadlineMs <= latestMs).forEach((pending) =>
            abandon(pending, "the store gave no answer in time")
        );
        queue = queue.filter(({ deadlineMs }) => deadlineMs > latestMs);
    }

    function abandon(pending: PendingWrite, detail: string): void {
        pending.settle({ kind: pending.mayBeWritten ? "unknown" : "notWritten", detail });
    }

    async function writeBatch(batch: readonly PendingWrite[]): Promise<void> {
        const committing = store.commit({
            conditions: batch.map(({ write }) => ({ key: write.key, revision: write.revision })),
            puts: batch.map(({ write }) => ({ key: write.key, text: write.text })),
            deletes: [],
        });
        sent = batch;
        const abandoned = new Promise<undefined>((resolve) => endWait = () => resolve(undefined));
        const result = await Promise.race([committing, abandoned]);
        sent = [];
        // A late answer to an abandoned commit changes nothing: its writes have been settled as unknown.
        if (result !== undefined) {
            await applyResult(batch, result);
        }
    }

    function markUnanswered(batch: readonly PendingWrite[]): void {
        batch.forEach((pending) => pending.mayBeWritten = true);
        if (batch.length > 0) {
            onUnanswered(batch.map(({ write }) => write));
        }
    }

    function abandonAll(detail: string): void {
        markUnanswered(sent);
        const abandoned = [...sent, ...queue];
        queue = [];
        sent = [];
        abandoned.forEach((pending) => abandon(pending, detail));
        endWait();
    }

    async function applyResult(batch: readonly PendingWrite[], result: CommitResult): Promise<void> {
        switch (result.kind) {
            case "committed":
                batch.forEach(({ settle }) => settle({ kind: "written", revision: result.revision }));
                return;
            case "conflict":
                settleConflict(batch, result.items);
                return;
            case "unknown":
                markUnanswered(batch);
                break;
            case "unavailable":
            case "leaseEnded":
                break;
        }
        queue = [...batch, ...queue];
        await pause(retryMs);
    }

    /** One changed key fails the commit of the whole batch. Its write is settled here, and the others are sent again. */
    function settleConflict(batch: readonly PendingWrite[], items: readonly StoreItem[]): void {
        const present = new Map(items.map((item) => [item.key, item]));
        const retried: PendingWrite[] = [];
        for (const pending of batch) {
            const { key, revision, text } = pending.write;
            const item = present.get(key);
            if ((item?.revision ?? 0) === revision) {
                retried.push(pending);
            }
            else if (item !== undefined && item.text === text) {
                // Written by an earlier call of this writer whose answer was lost.
                pending.settle({ kind: "written", revision: item.revision });
            }
            else {
                pending.settle({ kind: "conflict", item });
            }
        }
        queue = [...retried, ...queue];
    }

    return {
        write: (write, deadlineMs) =>
            new Promise((settle) => {
                if (isStoreLost()) {
                    settle({ kind: "notWritten", detail: "the store does not answer" });
                    return;
                }
                queue.push({ write, deadlineMs, mayBeWritten: false, settle });
                void flush();
            }),
        abandonAll,
    };
}
