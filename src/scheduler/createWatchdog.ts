import type { Clocks } from "../clock";
import type { Reporter } from "../logging";
import { type DurationEstimates, quarantine, type Run, type SchedulerState, type Worker } from "../schedule";

export interface WatchdogOptions {
    readonly state: SchedulerState;
    readonly clocks: Clocks;
    readonly estimates: DurationEstimates;
    readonly report: Reporter;
    stop(run: Run, reason: string): void;
}

export interface Watchdog {
    /** Checks a worker's runs for stalls after it has reported its run list. */
    check(worker: Worker): void;
    /** Checks draining workers. Called periodically. */
    tick(): void;
}

/**
 * A task whose progress does not change for this long is stalled, in milliseconds. Workers are polled every second or
 * sooner.
 */
const stallMs = 2500;

/** A worker with a stalled task gets no new work for this long, in milliseconds. */
const quarantineMs = 4000;

/** Stops stalled tasks, and tasks on draining workers that would not finish there. */
export function createWatchdog(opts: WatchdogOptions): Watchdog {
    const { state, clocks } = opts;

    function isStalled(run: Run, nowMs: number): boolean {
        const isObservedRunning = run.phase === "running" && run.firstListedAtMs !== undefined;
        const { isLongRunning, isGang, isFiller } = run.task.step;
        if (!isObservedRunning || isGang || isFiller || (isLongRunning && run.percent === 100)) {
            return false;
        }
        return nowMs - run.progressAtMs > stallMs && nowMs - run.plannedAtMs > stallMs;
    }

    /**
     * A draining worker ends all its runs when it leaves. Those that would not finish before are stopped and restarted
     * elsewhere at once.
     */
    function stopUnfinishable(worker: Worker): void {
        for (const run of worker.runs) {
            if (run.phase !== "running") {
                continue;
            }
            const { step } = run.task;
            const remainingMs = opts.estimates.expectedDurationMs(run.task) * (1 - run.percent / 100);
            if (step.isLongRunning || (step.hasCheckpoints && remainingMs > worker.drainLeftMs)) {
                opts.stop(run, "its worker is draining");
            }
        }
    }

    return {
        check(worker) {
            const nowMs = clocks.monotonicMs();
            for (const run of worker.runs) {
                if (isStalled(run, nowMs)) {
                    quarantine(worker, nowMs + quarantineMs);
                    opts.report({
                        kind: "workerHealth",
                        change: "ejected",
                        instance: worker.id,
                        pool: worker.pool,
                        reason: `task ${run.task.name} stalled at ${run.percent}%`,
                        forMs: quarantineMs,
                    });
                    opts.stop(run, "it has stalled");
                }
            }
        },
        tick() {
            for (const worker of state.workers.values()) {
                if (worker.isDraining && worker.isRegistered) {
                    stopUnfinishable(worker);
                }
            }
        },
    };
}
