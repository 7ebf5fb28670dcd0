import { pause } from "../clock";
import type { Store, StoreEvent, StoreItem, WatchResult } from "./store";

/** Items under a prefix, with every change up to a revision of the store. Single items may be newer. */
export interface PrefixSnapshot {
    readonly items: ReadonlyMap<string, StoreItem>;
    readonly revision: number;
}

export interface PrefixWatcherOptions {
    readonly store: Store;
    readonly prefix: string;
    /** Long-poll duration of one watch, in milliseconds. It bounds the age of the view while the store answers. */
    readonly waitMs: number;
    /** Pause after each answer that holds events, in milliseconds. It limits the number of calls on a busy prefix. */
    readonly pauseMs: number;
    /** Clock that also counts time during which this process was suspended, in milliseconds. */
    readonly nowMs: () => number;
    /** Called for each change of a key; `item` is `undefined` when the key was deleted. */
    onItem(key: string, item: StoreItem | undefined): void;
    /** Called after `onItem` has received all changes of one answer. */
    onBatch?(): void;
    /** Called when the store stops answering, once until it answers again. */
    onStoreLost?(detail: string): void;
    /** Called at the first answer after `onStoreLost`. */
    onStoreRecovered?(): void;
    /** False if the caller stores what it needs from `onItem`: the view then keeps key revisions and empty texts. */
    readonly keepsText?: boolean;
    /**
     * Items that are known already. They are delivered first, without a call of `onBatch`. The watcher then asks for the
     * changes since their revision, without a wait, instead of reading the whole prefix.
     */
    readonly initial?: PrefixSnapshot;
}

/** Keeps a local view of all keys under a prefix up to date. */
export interface PrefixWatcher {
    readonly items: ReadonlyMap<string, StoreItem>;
    /**
     * The view contains every write made before this time, in milliseconds of `nowMs`; `undefined` before the first
     * answer.
     */
    freshAtMs(): number | undefined;
    /** Greatest age that the view has reached since the first answer, in milliseconds. */
    longestAgeMs(): number;
    /** Asks for changes without a wait, beside the long poll. Concurrent calls share one question to the store. */
    refresh(): Promise<void>;
    /** Applies an item that was not received by the watch, if it is newer than the view. */
    offer(item: StoreItem): void;
    /** Returns the view and its revision; `undefined` while the whole prefix has to be read. */
    snapshot(): PrefixSnapshot | undefined;
    start(): void;
    stop(): void;
}

/**
 * Retry delay after a call without an answer, in milliseconds. Refused calls count against the platform's limit of calls
 * too.
 */
const retryMs = 200;

/**
 * Watches a prefix by long polls. When the store no longer has the history since the last known revision (it was
 * compacted, or the store was unavailable for long), the whole prefix is read and compared with the view. The
 * comparison also finds keys that were deleted in between.
 */
export function createPrefixWatcher(opts: PrefixWatcherOptions): PrefixWatcher {
    const items = new Map<string, StoreItem>();
    let revision: number | undefined;
    let isFirstBatch = true;
    let freshAtMs: number | undefined;
    let longestAgeMs = 0;
    let isStopped = false;
    let isLost = false;
    let refreshing: Promise<void> | undefined;

    function ageMs(): number {
        return freshAtMs === undefined ? 0 : opts.nowMs() - freshAtMs;
    }

    function recordAnswer(sentAtMs: number): void {
        longestAgeMs = Math.max(longestAgeMs, ageMs());
        freshAtMs = Math.max(freshAtMs ?? 0, sentAtMs);
        if (isLost) {
            isLost = false;
            opts.onStoreRecovered?.();
        }
    }

    async function recordLoss(detail: string): Promise<void> {
        if (!isLost) {
            isLost = true;
            opts.onStoreLost?.(detail);
        }
        await pause(retryMs);
    }

    function apply(key: string, item: StoreItem | undefined): void {
        if (item === undefined) {
            items.delete(key);
        }
        else {
            items.set(key, opts.keepsText === false ? { ...item, text: "" } : item);
        }
        opts.onItem(key, item);
    }

    function applyNewer(item: StoreItem): void {
        if ((items.get(item.key)?.revision ?? 0) < item.revision) {
            apply(item.key, item);
        }
    }

    async function readAll(): Promise<void> {
        const sentAtMs = opts.nowMs();
        const result = await opts.store.range(opts.prefix);
        if (isStopped) {
            return;
        }
        if (result.kind === "unavailable") {
            await recordLoss(result.detail);
            return;
        }
        const found = new Map(result.items.map((item) => [item.key, item]));
        // An offered item may be newer than what was read.
        const { revision: readRevision } = result;
        [...items.values()].filter((item) => !found.has(item.key) && item.revision <= readRevision).forEach((item) =>
            apply(item.key, undefined)
        );
        for (const item of result.items) {
            // Pages are not one snapshot: an item may be older than the one already in the view.
            applyNewer(item);
        }
        revision = readRevision;
        recordAnswer(sentAtMs);
        reportBatch();
    }

    function reportBatch(): void {
        isFirstBatch = false;
        opts.onBatch?.();
    }

    async function waitForChanges(after: number): Promise<void> {
        const sentAtMs = opts.nowMs();
        // After a loss, the watch returns at once, so that the first answer shows that the store is back. With a long
        // poll, this entry would refuse requests and not act as leader for up to `waitMs` longer. After initial items, it
        // returns at once too, because the caller waits for the first batch.
        const firstResult = await opts.store.watch(opts.prefix, after, isLost || isFirstBatch ? 0 : opts.waitMs);
        // A healthy store may close a pending watch. The store counts as lost only if a watch without waiting fails
        // too.
        const isInterrupted = firstResult.kind === "unavailable" && !isLost;
        const result = isInterrupted ? await opts.store.watch(opts.prefix, after, 0) : firstResult;
        if (isStopped) {
            return;
        }
        switch (result.kind) {
            case "unavailable":
                return recordLoss(result.detail);
            case "compacted":
                revision = undefined;
                return;
            case "events":
                if (applyEvents(result, sentAtMs)) {
                    await pause(opts.pauseMs);
                }
        }
    }

    /** Applies the answer to a watch. Returns whether a batch was reported. */
    function applyEvents(result: Extract<WatchResult, { kind: "events"; }>, sentAtMs: number): boolean {
        const knownRevision = revision ?? 0;
        // A refresh may have applied later changes than this answer holds. Without this check, an event from before the
        // deletion of its key would add the item again.
        const news = result.events.filter((event) => revisionOf(event) > knownRevision);
        for (const event of news) {
            if (event.kind === "put") {
                // An offered item may be newer than the event.
                applyNewer(event.item);
            }
            else if ((items.get(event.key)?.revision ?? 0) <= event.revision) {
                apply(event.key, undefined);
            }
        }
        revision = Math.max(knownRevision, result.revision);
        recordAnswer(sentAtMs);
        const hasBatch = news.length > 0 || isFirstBatch;
        if (hasBatch) {
            reportBatch();
        }
        return hasBatch;
    }

    async function askForChanges(after: number): Promise<void> {
        const sentAtMs = opts.nowMs();
        const result = await opts.store.watch(opts.prefix, after, 0);
        // The long poll reports a loss, and reads the whole prefix where the history is gone.
        if (result.kind === "events" && !isStopped && revision !== undefined) {
            applyEvents(result, sentAtMs);
        }
    }

    function deliverInitial({ items: initialItems, revision: initialRevision }: PrefixSnapshot): void {
        initialItems.forEach((item) => apply(item.key, item));
        revision = initialRevision;
    }

    async function run(): Promise<void> {
        if (opts.initial !== undefined) {
            deliverInitial(opts.initial);
        }
        while (!isStopped) {
            await (revision === undefined ? readAll() : waitForChanges(revision));
        }
    }

    return {
        items,
        freshAtMs: () => freshAtMs,
        async refresh() {
            if (refreshing === undefined && revision !== undefined) {
                refreshing = askForChanges(revision).finally(() => refreshing = undefined);
            }
            await refreshing;
        },
        longestAgeMs: () => Math.max(longestAgeMs, ageMs()),
        offer(item) {
            // The view contains all changes up to its revision: an older item that it lacks has been deleted since.
            if (revision !== undefined && item.revision > revision) {
                applyNewer(item);
                opts.onBatch?.();
            }
        },
        snapshot: () => revision === undefined ? undefined : { items, revision },
        start() {
            void run();
        },
        stop() {
            isStopped = true;
        },
    };
}

function revisionOf(event: StoreEvent): number {
    return event.kind === "put" ? event.item.revision : event.revision;
}
