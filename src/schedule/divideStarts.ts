import { divideMaxMin } from "../fairness";

export interface DivideStartsOptions {
    /** Starts that may be added now. */
    readonly freeStarts: number;
    /** Bound on all starts in flight. */
    readonly windowStarts: number;
    readonly inFlightByPool: ReadonlyMap<string, number>;
    /** Tasks that can start, by pool; only pools that have any. */
    readonly waitingByPool: ReadonlyMap<string, number>;
}

/**
 * Divides the free part of the window of starts in flight among the pools with work to start; `undefined` where there is
 * nothing to divide: a single pool has work, or all of it fits.
 *
 * Filled by rank alone, the window is used up by the pool with the longest backlog, while another pool's few tasks wait
 * beside idle machines. So each pool is entitled to an equal share of the window, less what it has in flight.
 */
export function divideStarts(opts: DivideStartsOptions): ReadonlyMap<string, number> | undefined {
    const { freeStarts, windowStarts, inFlightByPool, waitingByPool } = opts;
    const totalWaiting = [...waitingByPool.values()].reduce((sum, count) => sum + count, 0);
    if (waitingByPool.size < 2 || totalWaiting <= freeStarts) {
        return undefined;
    }
    const inFlightOf = (pool: string) => inFlightByPool.get(pool) ?? 0;
    const needs = new Map([...waitingByPool].map(([pool, waiting]) => [pool, waiting + inFlightOf(pool)]));
    const shares = divideMaxMin(windowStarts, needs);
    const due = new Map([...shares].map(([pool, share]) => [pool, Math.max(0, share - inFlightOf(pool))]));
    return roundShares(divideMaxMin(freeStarts, due), inFlightOf);
}

/**
 * Rounds shares to whole starts with the same sum. Pools with the fewest starts in flight are rounded up first, so that
 * with a small window and many pools each has its turn.
 */
function roundShares(
    shares: ReadonlyMap<string, number>,
    inFlightOf: (pool: string) => number,
): ReadonlyMap<string, number> {
    const total = [...shares.values()].reduce((sum, share) => sum + share, 0);
    const rounded = new Map([...shares].map(([pool, share]) => [pool, Math.floor(share)]));
    let left = Math.round(total) - [...rounded.values()].reduce((sum, share) => sum + share, 0);
    const ascending = [...shares].sort(([a], [b]) => inFlightOf(a) - inFlightOf(b));
    for (const [pool, share] of ascending) {
        if (left > 0 && share > Math.floor(share)) {
            rounded.set(pool, Math.floor(share) + 1);
            left--;
        }
    }
    return rounded;
}
