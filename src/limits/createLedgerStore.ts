import type { Platform } from "../platform";
import { emptyLedger, formatLedger, type Ledger, parseLedger } from "./ledger";
import { ledgerKey } from "./shards";

export interface LedgerStoreOptions {
    readonly platform: Platform;
    readonly shard: number;
    readonly onWrite?: (result: WriteResult) => void;
}

/** `unknown`: the response was lost, so the write may have taken effect. The ledger is read again before it is used. */
export type WriteResult = "written" | "conflict" | "unavailable" | "unknown" | "refused";

/** Cached copy of one ledger, with the revision at which the platform stored exactly this value. */
export interface LedgerStore {
    cached(): { readonly ledger: Ledger | undefined; readonly revision: number; };
    /**
     * Reads the ledger if the cached copy may be stale, or if the platform has not confirmed it for `maxAgeMs`. Resolves
     * to false if the platform does not respond or the value can't be parsed.
     */
    refresh(maxAgeMs: number): Promise<boolean>;
    /** Records a revision that another entry has seen. Returns true if the cached copy is older. */
    recordRevision(seen: number): boolean;
    reload(): Promise<boolean>;
    /** True if the platform has responded within the last `maxFreshAgeMs` and has not failed since. */
    isFresh(): boolean;
    write(ledger: Ledger): Promise<WriteResult>;
}

const maxFreshAgeMs = 300;

export function createLedgerStore(opts: LedgerStoreOptions): LedgerStore {
    const key = ledgerKey(opts.shard);
    let ledger: Ledger | undefined;
    let revision = 0;
    let mustReload = true;
    let lastAnswerAtMs = -Infinity;

    function applyStored(text: string | undefined, at: number): boolean {
        lastAnswerAtMs = performance.now();
        const parsed = text === undefined ? emptyLedger : parseLedger(text);
        if (parsed === undefined) {
            mustReload = true;
            return false;
        }
        if (at >= revision) {
            ledger = parsed;
            revision = at;
        }
        mustReload = false;
        return true;
    }

    async function reload(): Promise<boolean> {
        const read = await opts.platform.read(key);
        return read.caseOf({
            Left: () => {
                lastAnswerAtMs = -Infinity;
                mustReload = true;
                return false;
            },
            Right: (stored) => applyStored(stored?.text, stored?.revision ?? 0),
        });
    }

    async function compareAndSwap(next: Ledger): Promise<WriteResult> {
        const written = await opts.platform.compareAndSwap(key, revision, formatLedger(next));
        return written.caseOf<WriteResult>({
            Left: (failure) => {
                switch (failure.kind) {
                    case "conflict":
                        applyStored(failure.current?.text, failure.current?.revision ?? 0);
                        return "conflict";
                    case "unavailable":
                    case "unknown":
                        mustReload = true;
                        lastAnswerAtMs = -Infinity;
                        return failure.kind;
                    case "tooLarge":
                        return "refused";
                }
            },
            Right: (at) => {
                lastAnswerAtMs = performance.now();
                ledger = next;
                revision = at;
                return "written";
            },
        });
    }

    return {
        cached: () => ({ ledger, revision }),
        refresh: (maxAgeMs) =>
            mustReload || performance.now() - lastAnswerAtMs >= maxAgeMs ? reload() : Promise.resolve(true),
        recordRevision(seen) {
            const isOlder = seen > revision;
            mustReload ||= isOlder;
            return isOlder;
        },
        reload,
        isFresh: () => !mustReload && performance.now() - lastAnswerAtMs < maxFreshAgeMs,
        async write(next) {
            const result = await compareAndSwap(next);
            opts.onWrite?.(result);
            return result;
        },
    };
}
