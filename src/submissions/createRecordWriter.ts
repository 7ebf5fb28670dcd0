import { pause } from "../clock";
import type { CommitResult, Store, StoreItem } from "../store";
import { maxCommitEntries } from "../store";

/** One key to write if it is at a revision; 0 where it must not exist yet. */
export interface RecordWrite {
    readonly key: string;
    readonly revision: number;
    readonly text: string;
}

/**
 * How a write ended.
 *
 * - `written`: it is in the store.
 * - `conflict`: the key is at another revision; the item as it is, absent where the key does not exist.
 * - `notWritten`: the store did not take it and never will.
 * - `unknown`: the time was over while its fate was not known; it may be in the store, now or later.
 */
export type WriteOutcome =
    | { readonly kind: "written"; readonly revision: number; }
    | { readonly kind: "conflict"; readonly item: StoreItem | undefined; }
    | { readonly kind: "notWritten"; readonly detail: string; }
    | { readonly kind: "unknown"; readonly detail: string; };

export interface RecordWriter {
    /** Tries until the deadline on the steady clock. */
    write(write: RecordWrite, deadlineMs: number): Promise<WriteOutcome>;
}

interface Waiting {
    readonly write: RecordWrite;
    readonly deadlineMs: number;
    /** An earlier call with this write has had no answer: it may be in the store, or get there. */
    mayBeWritten: boolean;
    settle(outcome: WriteOutcome): void;
}

/** Each write takes a condition and a put. */
const writesPerCommit = maxCommitEntries / 2;

/** Pause before writes whose call got no answer are sent again, in milliseconds. */
const retryMs = 100;

/** Writes this close to their deadline are given up: one call takes about 10 ms with its way there, in milliseconds. */
const latencyMarginMs = 30;

/**
 * Writes records in groups: one commit is under way, and the next takes all that came meanwhile. At a burst of
 * submissions this needs one call for up to 16 of them; a lone one waits for nothing.
 */
export function createRecordWriter(store: Store, steadyMs: () => number): RecordWriter {
    let queue: Waiting[] = [];
    let isBusy = false;

    async function drain(): Promise<void> {
        if (isBusy) {
            return;
        }
        isBusy = true;
        while (queue.length > 0) {
            expire();
            const group = queue.slice(0, writesPerCommit);
            queue = queue.slice(writesPerCommit);
            if (group.length > 0) {
                await writeGroup(group);
            }
        }
        isBusy = false;
    }

    function expire(): void {
        const latestMs = steadyMs() + latencyMarginMs;
        queue.filter(({ deadlineMs }) => deadlineMs <= latestMs).forEach(giveUp);
        queue = queue.filter(({ deadlineMs }) => deadlineMs > latestMs);
    }

    function giveUp(waiting: Waiting): void {
        waiting.settle({
            kind: waiting.mayBeWritten ? "unknown" : "notWritten",
            detail: "the store gave no answer in time",
        });
    }

    async function writeGroup(group: readonly Waiting[]): Promise<void> {
        const result = await store.commit({
            conditions: group.map(({ write }) => ({ key: write.key, revision: write.revision })),
            puts: group.map(({ write }) => ({ key: write.key, text: write.text })),
            deletes: [],
        });
        await applyResult(group, result);
    }

    async function applyResult(group: readonly Waiting[], result: CommitResult): Promise<void> {
        switch (result.kind) {
            case "committed":
                group.forEach(({ settle }) => settle({ kind: "written", revision: result.revision }));
                return;
            case "conflict":
                sortOut(group, result.items);
                return;
            case "unknown":
                group.forEach((waiting) => waiting.mayBeWritten = true);
                break;
            case "unavailable":
            case "leaseEnded":
                break;
        }
        queue = [...group, ...queue];
        await pause(retryMs);
    }

    /** One key that changed fails the whole group: it is answered, and the others are sent again. */
    function sortOut(group: readonly Waiting[], items: readonly StoreItem[]): void {
        const found = new Map(items.map((item) => [item.key, item]));
        const again: Waiting[] = [];
        for (const waiting of group) {
            const { key, revision, text } = waiting.write;
            const item = found.get(key);
            if ((item?.revision ?? 0) === revision) {
                again.push(waiting);
            }
            else if (item !== undefined && item.text === text) {
                // An earlier call of ours, whose answer was lost.
                waiting.settle({ kind: "written", revision: item.revision });
            }
            else {
                waiting.settle({ kind: "conflict", item });
            }
        }
        queue = [...again, ...queue];
    }

    return {
        write: (write, deadlineMs) =>
            new Promise((settle) => {
                queue.push({ write, deadlineMs, mayBeWritten: false, settle });
                void drain();
            }),
    };
}
