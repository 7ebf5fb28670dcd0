import type { Platform } from "../platform";
import { emptyLedger, formatLedger, type Ledger, parseLedger } from "./ledger";
import { ledgerKey } from "./shards";

export interface LedgerStoreOptions {
    readonly platform: Platform;
    readonly shard: number;
    readonly onWrite?: (result: WriteResult) => void;
}

/** `unknown`: the answer was lost; the ledger is read again before anything is done with it. */
export type WriteResult = "written" | "conflict" | "unavailable" | "unknown" | "refused";

/** One ledger value as this entry last saw it, at a revision at which it truly stood so. */
export interface LedgerStore {
    known(): { readonly ledger: Ledger | undefined; readonly revision: number; };
    /** Reads the value where it is not known; gives false where the service does not answer. */
    refresh(): Promise<boolean>;
    reload(): Promise<boolean>;
    /** True where the service has answered a moment ago and has not failed since. */
    isFresh(): boolean;
    write(ledger: Ledger): Promise<WriteResult>;
}

const freshMs = 300;

export function createLedgerStore(opts: LedgerStoreOptions): LedgerStore {
    const key = ledgerKey(opts.shard);
    let ledger: Ledger | undefined;
    let revision = 0;
    let isDoubtful = true;
    let answeredAtMs = -Infinity;

    function adopt(text: string | undefined, at: number): boolean {
        answeredAtMs = performance.now();
        const parsed = text === undefined ? emptyLedger : parseLedger(text);
        if (parsed === undefined) {
            isDoubtful = true;
            return false;
        }
        if (at >= revision) {
            ledger = parsed;
            revision = at;
        }
        isDoubtful = false;
        return true;
    }

    async function reload(): Promise<boolean> {
        const read = await opts.platform.read(key);
        return read.caseOf({
            Left: () => {
                answeredAtMs = -Infinity;
                isDoubtful = true;
                return false;
            },
            Right: (stored) => adopt(stored?.text, stored?.revision ?? 0),
        });
    }

    async function swap(next: Ledger): Promise<WriteResult> {
        const written = await opts.platform.compareAndSwap(key, revision, formatLedger(next));
        return written.caseOf<WriteResult>({
            Left: (failure) => {
                switch (failure.kind) {
                    case "conflict":
                        adopt(failure.current?.text, failure.current?.revision ?? 0);
                        return "conflict";
                    case "unavailable":
                    case "unknown":
                        isDoubtful = true;
                        answeredAtMs = -Infinity;
                        return failure.kind;
                    case "tooLarge":
                        return "refused";
                }
            },
            Right: (at) => {
                answeredAtMs = performance.now();
                ledger = next;
                revision = at;
                return "written";
            },
        });
    }

    return {
        known: () => ({ ledger, revision }),
        refresh: () => isDoubtful ? reload() : Promise.resolve(true),
        reload,
        isFresh: () => !isDoubtful && performance.now() - answeredAtMs < freshMs,
        async write(next) {
            const result = await swap(next);
            opts.onWrite?.(result);
            return result;
        },
    };
}
