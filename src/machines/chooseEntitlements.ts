import { divideMaxMin } from "../fairness";
import { findShortage, fragmentationFactor, type PoolDemand } from "./chooseMoves";

export interface EntitlementOptions {
    readonly pools: readonly PoolDemand[];
    /** Processors of all machines that can serve a pool, in thousandths, without those of long-running tasks. */
    readonly totalCpuMillis: number;
    /** Upper bounds on what counts as the need of pools that can't fill their machines, in thousandths. */
    readonly limitsCpuMillis: ReadonlyMap<string, number>;
}

/** Processors to which each pool is entitled, in thousandths; `undefined` while there are enough machines for all pools. */
export type Entitlements = ReadonlyMap<string, number> | undefined;

/**
 * Divides the machines' processors among the pools if these need more than there is: first over their conforming needs, then
 * what is left over the rest of their needs.
 *
 * Whether the pools compete is judged by their needs without limits, so that the limits have no effect while there is enough.
 */
export function chooseEntitlements(opts: EntitlementOptions): Entitlements {
    const pools = opts.pools.filter(({ isStandby }) => !isStandby);
    const wantedCpuMillis = pools.reduce((sum, pool) => sum + findWanted(pool), 0);
    if (wantedCpuMillis <= opts.totalCpuMillis) {
        return undefined;
    }
    const needs = new Map(pools.map((pool) => {
        const limit = opts.limitsCpuMillis.get(pool.pool) ?? Number.POSITIVE_INFINITY;
        return [pool.pool, Math.min(limit, findWanted(pool))];
    }));
    const conforming = new Map(
        pools.map((pool) => [pool.pool, Math.min(needs.get(pool.pool) ?? 0, findConforming(pool))]),
    );
    const first = divideMaxMin(opts.totalCpuMillis, conforming);
    const left = opts.totalCpuMillis - [...first.values()].reduce((sum, share) => sum + share, 0);
    const rest = new Map([...needs].map(([pool, need]) => [pool, need - (conforming.get(pool) ?? 0)]));
    const second = divideMaxMin(left, rest);
    return new Map([...first].map(([pool, share]) => [pool, share + (second.get(pool) ?? 0)]));
}

/** Processors that a pool should have in total. */
function findWanted(pool: PoolDemand): number {
    return Math.max(0, findShortage(pool) + pool.capacityCpuMillis + pool.comingCpuMillis);
}

function findConforming(pool: PoolDemand): number {
    const excessCpuMillis = Math.max(0, pool.neededCpuMillis - pool.conformingNeedCpuMillis);
    return Math.max(0, findWanted(pool) - fragmentationFactor * excessCpuMillis);
}
