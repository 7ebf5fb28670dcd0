import type { Worker } from "../schedule";

/** Cores of a pool's workers and their use, in thousandths of a core. */
export interface PoolUsage {
    readonly workers: number;
    readonly cpuMillis: number;
    readonly largestCpuMillis: number;
    readonly longRunningCpuMillis: number;
    readonly shortCpuMillis: number;
    /** Number of workers that run nothing. */
    readonly emptyWorkers: number;
    /** Number of workers that run only long-running tasks. */
    readonly longRunningOnlyWorkers: number;
}

/** Sums the capacity and the use of a pool's workers. */
export function sumPoolUsage(workers: readonly Worker[]): PoolUsage {
    const sum = { cpuMillis: 0, largestCpuMillis: 0, longRunningCpuMillis: 0, shortCpuMillis: 0 };
    let [emptyWorkers, longRunningOnlyCount] = [0, 0];
    for (const { capacity, runs } of workers) {
        sum.cpuMillis += capacity.cpuMillis;
        sum.largestCpuMillis = Math.max(sum.largestCpuMillis, capacity.cpuMillis);
        let longRunningCount = 0;
        for (const { task: { step } } of runs) {
            const used = step.isFiller ? 0 : step.size.cpuMillis;
            sum.longRunningCpuMillis += step.isLongRunning ? used : 0;
            sum.shortCpuMillis += step.isLongRunning ? 0 : used;
            longRunningCount += step.isLongRunning ? 1 : 0;
        }
        emptyWorkers += runs.size === 0 ? 1 : 0;
        longRunningOnlyCount += runs.size > 0 && longRunningCount === runs.size ? 1 : 0;
    }
    return { ...sum, workers: workers.length, emptyWorkers, longRunningOnlyWorkers: longRunningOnlyCount };
}
