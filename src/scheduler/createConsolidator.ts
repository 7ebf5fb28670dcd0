import type { Clocks } from "../clock";
import { findShortage, type PoolDemand } from "../machines";
import { type Board, groupByPool, type Run, type Worker } from "../schedule";
import { chooseConsolidation } from "./chooseConsolidation";
import { chooseEvacuations } from "./chooseEvacuations";

export interface ConsolidatorOptions {
    readonly board: Board;
    readonly clocks: Clocks;
    /** Longest time that a stop takes on a worker, in milliseconds. */
    readonly maxStopMs: number;
    stop(run: Run, reason: string): void;
}

/** Gathers tasks that last on few machines. */
export interface Consolidator {
    /** Begins, goes on or gives up, one worker of a pool at a time. */
    decide(demand: readonly PoolDemand[]): void;
}

export function createConsolidator(opts: ConsolidatorOptions): Consolidator {
    const { board, clocks } = opts;
    const stayingSinceMs = new Map<Worker, number>();
    /** The worker that is being emptied, by pool. */
    const emptying = new Map<string, Worker>();

    function noteStaying(workers: readonly Worker[], nowMs: number): void {
        for (const worker of workers) {
            const isStaying = worker.runs.size > 0 && [...worker.runs].every(({ task }) => task.step.isLongRunning);
            if (!isStaying) {
                stayingSinceMs.delete(worker);
            }
            else if (!stayingSinceMs.has(worker)) {
                stayingSinceMs.set(worker, nowMs);
            }
        }
    }

    function forgetGone(): void {
        for (const worker of stayingSinceMs.keys()) {
            if (board.workers.get(worker.id) !== worker) {
                stayingSinceMs.delete(worker);
            }
        }
    }

    /** Given up where the pool needs the room meanwhile; over where nothing is left on the worker. */
    function goOn(worker: Worker, isShort: boolean, nowMs: number): void {
        if (isShort || worker.runs.size === 0 || !worker.isListed) {
            emptying.delete(worker.pool);
            worker.isReserved = false;
            return;
        }
        for (const run of chooseEvacuations(worker, { board, isUrgent: false, nowMs, maxStopMs: opts.maxStopMs })) {
            opts.stop(run, "its task moves to a worker in use");
        }
    }

    return {
        decide(demand) {
            const nowMs = clocks.steadyMs();
            const pools = groupByPool(board);
            forgetGone();
            for (const need of demand) {
                const workers = pools.get(need.pool) ?? [];
                noteStaying(workers, nowMs);
                const shortage = findShortage(need);
                const current = emptying.get(need.pool);
                const worker = current ?? chooseConsolidation({
                    workers: need.isStandby ? [] : workers,
                    spareCpuMillis: -shortage - need.reserveCpuMillis,
                    stayingMs: (each) => nowMs - (stayingSinceMs.get(each) ?? nowMs),
                    nowMs,
                });
                if (worker !== undefined) {
                    emptying.set(need.pool, worker);
                    worker.isReserved = true;
                    goOn(worker, current !== undefined && shortage > 0, nowMs);
                }
            }
        },
    };
}
