import type { Clocks } from "../clock";
import type { Tenure } from "../duties";
import { findShortage, type PoolDemand } from "../machines";
import { groupByPool, type Run, type SchedulerState, type Worker } from "../schedule";
import { chooseConsolidation } from "./chooseConsolidation";
import { chooseEvictions } from "./chooseEvictions";

export interface ConsolidatorOptions {
    readonly state: SchedulerState;
    readonly clocks: Clocks;
    readonly tenure: Pick<Tenure, "mayInterrupt">;
    /** Longest time that a worker takes to stop a task, in milliseconds. */
    readonly maxStopMs: number;
    stop(run: Run, reason: string): void;
}

/** Packs long-running tasks onto fewer machines. */
export interface Consolidator {
    /** Starts, continues or gives up the emptying of one worker per pool. */
    decide(demand: readonly PoolDemand[]): void;
}

/** Creates a consolidator for all pools. */
export function createConsolidator(opts: ConsolidatorOptions): Consolidator {
    const { state, clocks } = opts;
    const longRunningOnlySinceMs = new Map<Worker, number>();
    /** The worker that is being emptied, by pool. */
    const emptyingByPool = new Map<string, Worker>();

    function updateLongRunningOnly(workers: readonly Worker[], nowMs: number): void {
        for (const worker of workers) {
            const isLongRunningOnly = worker.runs.size > 0
                && [...worker.runs].every(({ task }) => task.step.isLongRunning);
            if (!isLongRunningOnly) {
                longRunningOnlySinceMs.delete(worker);
            }
            else if (!longRunningOnlySinceMs.has(worker)) {
                longRunningOnlySinceMs.set(worker, nowMs);
            }
        }
    }

    function removeGoneWorkers(): void {
        for (const worker of longRunningOnlySinceMs.keys()) {
            if (state.workers.get(worker.id) !== worker) {
                longRunningOnlySinceMs.delete(worker);
            }
        }
    }

    /** Stops more of the worker's tasks. Gives up if the pool needs the capacity, and ends when the worker is empty. */
    function continueEmptying(worker: Worker, isShort: boolean, nowMs: number): void {
        if (isShort || worker.runs.size === 0 || !worker.isRegistered) {
            emptyingByPool.delete(worker.pool);
            worker.isReserved = false;
            return;
        }
        const mayInterrupt = opts.tenure.mayInterrupt();
        const { maxStopMs } = opts;
        for (const run of chooseEvictions(worker, { state, mayInterrupt, isUrgent: false, nowMs, maxStopMs })) {
            opts.stop(run, "its task is consolidated onto a worker in use");
        }
    }

    return {
        decide(demand) {
            const nowMs = clocks.monotonicMs();
            const pools = groupByPool(state);
            removeGoneWorkers();
            for (const need of demand) {
                const workers = pools.get(need.pool) ?? [];
                updateLongRunningOnly(workers, nowMs);
                const shortage = findShortage(need);
                const current = emptyingByPool.get(need.pool);
                const worker = current ?? chooseConsolidation({
                    workers: need.isStandby ? [] : workers,
                    spareCpuMillis: -shortage - need.reserveCpuMillis,
                    longRunningOnlyMs: (each) => nowMs - (longRunningOnlySinceMs.get(each) ?? nowMs),
                    nowMs,
                });
                if (worker !== undefined) {
                    emptyingByPool.set(need.pool, worker);
                    worker.isReserved = true;
                    continueEmptying(worker, current !== undefined && shortage > 0, nowMs);
                }
            }
        },
    };
}
