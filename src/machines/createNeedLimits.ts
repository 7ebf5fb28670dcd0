import type { PoolDemand } from "./chooseMoves";

/** Bounds the needs of pools that can't fill their machines. */
export interface NeedLimits {
    /** Records the pools' demand and returns the bounds in force, in thousandths of a processor, by pool. */
    update(pools: readonly PoolDemand[], nowMs: number): ReadonlyMap<string, number>;
}

/** Demand of a pool at one time. */
interface Sample {
    readonly atMs: number;
    readonly usedCpuMillis: number;
    /** More than a machine was idle although tasks that fit there waited. */
    readonly isUnfilled: boolean;
}

interface Limit {
    cpuMillis: number;
    /** Processors by which the limit is raised next. */
    stepCpuMillis: number;
    /** Time without unfilled machines after which it is raised. */
    holdMs: number;
    raiseAtMs: number;
}

/**
 * A raised limit that the pool can't use is held twice as long as before, up to this multiple of the join time. Otherwise
 * one machine would join and leave the pool every few seconds.
 */
const maxHoldFactor = 16;

/**
 * Creates the bounds of all pools.
 *
 * A pool that had more than an idle machine for its waiting tasks all the time in which a machine joins is limited by starts
 * and not by machines. Its need is then at most what it uses plus one machine. Once it fills its machines, its limit is
 * raised by one machine, then by two, four and so on, because the limit of its starts may be gone.
 *
 * @param joinMs time from the decision to send a machine until it takes work, in milliseconds
 */
export function createNeedLimits(joinMs: number): NeedLimits {
    const samplesByPool = new Map<string, readonly Sample[]>();
    const limits = new Map<string, Limit>();

    function updateLimit(pool: PoolDemand, samples: readonly Sample[], nowMs: number): void {
        const limit = limits.get(pool.pool);
        const isUnfilled = samples.every((sample) => sample.isUnfilled);
        const isWindowFull = nowMs - (samples[0]?.atMs ?? nowMs) >= joinMs;
        if (isUnfilled && isWindowFull) {
            const usedCpuMillis = Math.max(...samples.map((sample) => sample.usedCpuMillis));
            const isRaised = limit !== undefined && limit.stepCpuMillis > pool.machineCpuMillis;
            const holdMs = Math.min(maxHoldFactor * joinMs, (limit?.holdMs ?? joinMs) * (isRaised ? 2 : 1));
            limits.set(pool.pool, {
                cpuMillis: usedCpuMillis + pool.machineCpuMillis,
                stepCpuMillis: pool.machineCpuMillis,
                holdMs,
                raiseAtMs: nowMs + holdMs,
            });
        }
        else if (limit !== undefined && !isUnfilled && nowMs >= limit.raiseAtMs) {
            limit.cpuMillis += limit.stepCpuMillis;
            limit.stepCpuMillis *= 2;
            limit.raiseAtMs = nowMs + joinMs;
        }
    }

    return {
        update(pools, nowMs) {
            for (const pool of pools.filter(({ isStandby }) => !isStandby)) {
                const samples = [
                    ...keepWindow(samplesByPool.get(pool.pool) ?? [], nowMs - joinMs),
                    {
                        atMs: nowMs,
                        usedCpuMillis: pool.usedCpuMillis,
                        isUnfilled: pool.startableCpuMillis > pool.machineCpuMillis,
                    },
                ];
                samplesByPool.set(pool.pool, samples);
                updateLimit(pool, samples, nowMs);
                if (pool.neededCpuMillis <= pool.usedCpuMillis) {
                    limits.delete(pool.pool);
                }
            }
            return new Map([...limits].map(([pool, { cpuMillis }]) => [pool, cpuMillis]));
        },
    };
}

/** Keeps the samples since a time, and the latest one before it, so that the window is covered in full. */
function keepWindow(samples: readonly Sample[], fromMs: number): readonly Sample[] {
    const firstInside = samples.findIndex(({ atMs }) => atMs > fromMs);
    return firstInside < 0 ? samples.slice(-1) : samples.slice(Math.max(0, firstInside - 1));
}
