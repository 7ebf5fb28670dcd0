/** Limits the records that cancellations of unknown submissions add to the store. */
export interface CancelBudget {
    /** Spends one record. Returns 0, or the time in milliseconds until one is available. */
    spend(): number;
}

export interface CancelBudgetOptions {
    /** Writes per second that the store takes from all entries. */
    readonly storeWritesPerSecond: number;
    /** Number of entries that share the store, this one included. */
    readonly entryCount: () => number;
    /** Reads the monotonic clock, in milliseconds. */
    readonly nowMs: () => number;
}

/** Share of the store's writes that these records may take. Accepted submissions and their progress need the others. */
const writeShare = 0.1;

/** Unspent records are kept for this long, in seconds: clients cancel many submissions at once when they give up. */
const burstSeconds = 5;

/** Burst of an entry where many entries share the store. */
const minBurst = 8;

/** Creates a token bucket with this entry's part of `writeShare`. */
export function createCancelBudget({ storeWritesPerSecond, entryCount, nowMs }: CancelBudgetOptions): CancelBudget {
    let tokens = Number.POSITIVE_INFINITY;
    let refilledAtMs = nowMs();

    return {
        spend() {
            const perSecond = writeShare * storeWritesPerSecond / Math.max(1, entryCount());
            const elapsedMs = nowMs() - refilledAtMs;
            refilledAtMs += elapsedMs;
            tokens = Math.min(Math.max(minBurst, burstSeconds * perSecond), tokens + perSecond * elapsedMs / 1000);
            if (tokens < 1) {
                return Math.ceil(1000 * (1 - tokens) / perSecond);
            }
            tokens--;
            return 0;
        },
    };
}
