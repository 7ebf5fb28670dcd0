import { pause } from "../clock";
import type { Store, StoreItem } from "./store";

export interface FollowerOptions {
    readonly store: Store;
    readonly prefix: string;
    /** How long one watch waits, in milliseconds. It bounds how old the view can be while the store answers. */
    readonly waitMs: number;
    /** Pause after each answer, so that a busy prefix costs fewer calls, in milliseconds. */
    readonly pauseMs: number;
    /** Reads the clock that also counts time during which this process was suspended. */
    readonly nowMs: () => number;
    /** `undefined` as text: the key is gone. */
    onItem(key: string, item: StoreItem | undefined): void;
    /** All events of one answer have been given to `onItem`. */
    onBatch?(): void;
    onLost?(detail: string): void;
    onRegained?(): void;
    /** False where whoever follows keeps what it needs: only revisions are kept then. */
    readonly isItemKept?: boolean;
}

/** A view of all keys under a prefix that follows the store. */
export interface Follower {
    readonly items: ReadonlyMap<string, StoreItem>;
    /** The view held everything that was written before this time; `undefined` before the first answer. */
    freshAtMs(): number | undefined;
    start(): void;
    stop(): void;
}

/** Pause before the next try after a call without an answer, in milliseconds. Each try is paid for, refused or not. */
const retryMs = 200;

/**
 * Follows a prefix by waiting watches. When the history is gone (the store dropped it, or was away for long) the
 * prefix is read whole and compared, so that keys removed meanwhile are noticed too.
 */
export function createFollower(opts: FollowerOptions): Follower {
    const items = new Map<string, StoreItem>();
    let revision: number | undefined;
    let freshAtMs: number | undefined;
    let isStopped = false;
    let isLost = false;

    function noteAnswer(sentAtMs: number): void {
        freshAtMs = Math.max(freshAtMs ?? 0, sentAtMs);
        if (isLost) {
            isLost = false;
            opts.onRegained?.();
        }
    }

    async function noteLoss(detail: string): Promise<void> {
        if (!isLost) {
            isLost = true;
            opts.onLost?.(detail);
        }
        await pause(retryMs);
    }

    function apply(key: string, item: StoreItem | undefined): void {
        if (item === undefined) {
            items.delete(key);
        }
        else {
            items.set(key, opts.isItemKept === false ? { ...item, text: "" } : item);
        }
        opts.onItem(key, item);
    }

    async function readAll(): Promise<void> {
        const sentAtMs = opts.nowMs();
        const result = await opts.store.range(opts.prefix);
        if (isStopped) {
            return;
        }
        if (result.kind === "unavailable") {
            await noteLoss(result.detail);
            return;
        }
        const found = new Map(result.items.map((item) => [item.key, item]));
        [...items.keys()].filter((key) => !found.has(key)).forEach((key) => apply(key, undefined));
        for (const item of result.items) {
            // Pages are not a snapshot: a key may have been read before and changed since.
            if ((items.get(item.key)?.revision ?? 0) < item.revision) {
                apply(item.key, item);
            }
        }
        revision = result.revision;
        noteAnswer(sentAtMs);
        opts.onBatch?.();
    }

    async function awaitChanges(after: number): Promise<void> {
        const sentAtMs = opts.nowMs();
        // After a loss the first answer tells that the store is back; waiting for a change, this entry would refuse
        // requests and leave the duty alone for up to a watch's length longer.
        const waited = await opts.store.watch(opts.prefix, after, isLost ? 0 : opts.waitMs);
        // A store that is well may cut a watch that waits; only one that does not answer at once either is lost.
        const isCut = waited.kind === "unavailable" && !isLost;
        const result = isCut ? await opts.store.watch(opts.prefix, after, 0) : waited;
        if (isStopped) {
            return;
        }
        switch (result.kind) {
            case "unavailable":
                return noteLoss(result.detail);
            case "compacted":
                revision = undefined;
                return;
            case "events":
                for (const event of result.events) {
                    if (event.kind === "put") {
                        apply(event.item.key, event.item);
                    }
                    else {
                        apply(event.key, undefined);
                    }
                }
                revision = result.revision;
                noteAnswer(sentAtMs);
                if (result.events.length > 0) {
                    opts.onBatch?.();
                    await pause(opts.pauseMs);
                }
        }
    }

    async function run(): Promise<void> {
        while (!isStopped) {
            await (revision === undefined ? readAll() : awaitChanges(revision));
        }
    }

    return {
        items,
        freshAtMs: () => freshAtMs,
        start() {
            void run();
        },
        stop() {
            isStopped = true;
        },
    };
}
