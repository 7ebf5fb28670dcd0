import type { Clocks } from "../clock";
import type { Reporter } from "../logging";
import { type Board, type Estimates, quarantine, type Run, type Worker } from "../schedule";

export interface WatchdogOptions {
    readonly board: Board;
    readonly clocks: Clocks;
    readonly estimates: Estimates;
    readonly report: Reporter;
    stop(run: Run, reason: string): void;
}

export interface Watchdog {
    /** Looks at what a worker has just listed. */
    check(worker: Worker): void;
    /** Looks at what depends on time alone. */
    tick(): void;
}

/** A task whose progress does not move for this long stands still, in milliseconds; looks come each second or sooner. */
const stallMs = 2500;

/** A worker on which a task stood still gets no new work for this long, in milliseconds. */
const quarantineMs = 4000;

/** Notices tasks that stand still, and gets work off workers that leave. */
export function createWatchdog(opts: WatchdogOptions): Watchdog {
    const { board, clocks } = opts;

    function isStalled(run: Run, nowMs: number): boolean {
        const isAtWork = run.phase === "running" && run.seenAtMs !== undefined;
        const { isLongRunning, isGang, isFiller } = run.task.step;
        if (!isAtWork || isGang || isFiller || (isLongRunning && run.percent === 100)) {
            return false;
        }
        return nowMs - run.progressAtMs > stallMs && nowMs - run.plannedAtMs > stallMs;
    }

    /** A worker that leaves ends everything on it; what would not be done by then starts again elsewhere at once. */
    function leave(worker: Worker): void {
        for (const run of worker.runs) {
            if (run.phase !== "running") {
                continue;
            }
            const { step } = run.task;
            const leftMs = opts.estimates.expectMs(run.task) * (1 - run.percent / 100);
            if (step.isLongRunning || (step.hasCheckpoints && leftMs > worker.drainLeftMs)) {
                opts.stop(run, "its worker is leaving");
            }
        }
    }

    return {
        check(worker) {
            const nowMs = clocks.steadyMs();
            for (const run of worker.runs) {
                if (isStalled(run, nowMs)) {
                    quarantine(worker, nowMs + quarantineMs);
                    opts.report({
                        kind: "workerHealth",
                        change: "ejected",
                        instance: worker.id,
                        pool: worker.pool,
                        reason: `task ${run.task.name} stands still at ${run.percent}%`,
                        forMs: quarantineMs,
                    });
                    opts.stop(run, "it stands still");
                }
            }
        },
        tick() {
            for (const worker of board.workers.values()) {
                if (worker.isDraining && worker.isListed) {
                    leave(worker);
                }
            }
        },
    };
}
