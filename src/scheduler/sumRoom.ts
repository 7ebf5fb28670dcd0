import type { Worker } from "../schedule";

/** Processors of a pool's workers and who uses them, in thousandths. */
export interface PoolRoom {
    readonly workers: number;
    readonly cpuMillis: number;
    readonly largestCpuMillis: number;
    readonly longRunningCpuMillis: number;
    readonly shortCpuMillis: number;
    /** Workers that run nothing, and those that run only tasks that last. */
    readonly emptyWorkers: number;
    readonly stayingWorkers: number;
}

export function sumRoom(workers: readonly Worker[]): PoolRoom {
    const sum = { cpuMillis: 0, largestCpuMillis: 0, longRunningCpuMillis: 0, shortCpuMillis: 0 };
    let [emptyWorkers, stayingWorkers] = [0, 0];
    for (const { capacity, runs } of workers) {
        sum.cpuMillis += capacity.cpuMillis;
        sum.largestCpuMillis = Math.max(sum.largestCpuMillis, capacity.cpuMillis);
        let staying = 0;
        for (const { task: { step } } of runs) {
            const used = step.isFiller ? 0 : step.size.cpuMillis;
            sum.longRunningCpuMillis += step.isLongRunning ? used : 0;
            sum.shortCpuMillis += step.isLongRunning ? 0 : used;
            staying += step.isLongRunning ? 1 : 0;
        }
        emptyWorkers += runs.size === 0 ? 1 : 0;
        stayingWorkers += runs.size > 0 && staying === runs.size ? 1 : 0;
    }
    return { ...sum, workers: workers.length, emptyWorkers, stayingWorkers };
}
