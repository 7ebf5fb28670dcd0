import { pause } from "../clock";
import type { PrefixSnapshot } from "./createPrefixWatcher";
import type { Store, StoreEvent, StoreItem } from "./store";

/** Calls per catch-up. A store that answers none of them within their timeout won't answer a full read sooner. */
const maxCalls = 3;

/** Pause before the next call, in milliseconds, after no answer or one older than the required revision. */
const retryMs = 50;

export interface CatchUpOptions {
    readonly store: Store;
    readonly prefix: string;
    readonly snapshot: PrefixSnapshot;
    /** The result contains every change up to this revision. */
    readonly minRevision: number;
}

/**
 * Brings a snapshot of a prefix to at least a revision, by watches that return at once. Returns `undefined` if that is
 * not possible in a few calls, or if the store no longer has the history: the prefix then has to be read.
 */
export async function catchUp(opts: CatchUpOptions): Promise<PrefixSnapshot | undefined> {
    const items = new Map(opts.snapshot.items);
    let { revision } = opts.snapshot;
    for (let calls = 0; revision < opts.minRevision; calls++) {
        if (calls === maxCalls) {
            return undefined;
        }
        if (calls > 0) {
            await pause(retryMs);
        }
        const result = await opts.store.watch(opts.prefix, revision, 0);
        switch (result.kind) {
            case "compacted":
                return undefined;
            case "unavailable":
                break;
            case "events":
                result.events.forEach((event) => applyEvent(items, event));
                // An older answer, as from a replica that lags, takes nothing away from what is known.
                revision = Math.max(revision, result.revision);
        }
    }
    return { items, revision };
}

function applyEvent(items: Map<string, StoreItem>, event: StoreEvent): void {
    if (event.kind === "put") {
        items.set(event.item.key, event.item);
    }
    else {
        items.delete(event.key);
    }
}
