import { maxLocalMs } from "../runs";
import { groupByPool, placeTask, type Run, type SchedulerState, type Worker } from "../schedule";

/** Progress at which a long-running task counts as available. */
const availablePercent = 100;

export interface EvictionOptions {
    readonly state: SchedulerState;
    /** Whether this leader may stop tasks that could continue; see `Tenure.mayInterrupt`. If not, none are chosen. */
    readonly mayInterrupt: boolean;
    /** Tasks are stopped even if no other worker can take them. */
    readonly isUrgent: boolean;
    readonly nowMs: number;
    /** Longest time that a worker takes to stop a task, in milliseconds. */
    readonly maxStopMs: number;
}

/**
 * Chooses the runs of a worker that may be stopped now so that the worker becomes empty.
 *
 * `maxUnavailable` limits how many tasks of a step that serves users may be unavailable at once through the scheduler's
 * own stops. A step that already has unavailable tasks for another reason has to wait. A task is stopped only if
 * another worker can take it. If it is urgent, the task is stopped anyway and waits for capacity. Short tasks are left
 * to end.
 */
export function chooseEvictions(worker: Worker, opts: EvictionOptions): readonly Run[] {
    const { state, nowMs } = opts;
    if (!opts.mayInterrupt) {
        return [];
    }
    const others = (groupByPool(state).get(worker.pool) ?? []).filter((other) => other !== worker);
    const chosen: Run[] = [];
    for (const run of worker.runs) {
        const { step } = run.task;
        const isPlaceable = opts.isUrgent || placeTask(run.task, { workers: others, nowMs }) !== undefined;
        if (run.phase === "running" && step.isLongRunning && isPlaceable && isWithinMaxUnavailable(run, chosen, opts)) {
            chosen.push(run);
        }
    }
    return chosen;
}

function isWithinMaxUnavailable({ task }: Run, chosen: readonly Run[], { maxStopMs }: EvictionOptions): boolean {
    const { step, stepTasks } = task;
    if (step.maxUnavailable === 0) {
        return true;
    }
    const available = [...stepTasks.started.values()].filter((other) =>
        other !== task && isAvailable(other.runs, chosen, maxStopMs)
    );
    const unavailableCount = step.count - 1 - available.length;
    return unavailableCount < step.maxUnavailable;
}

function isAvailable(runs: readonly Run[], chosen: readonly Run[], maxStopMs: number): boolean {
    return runs.some((run) =>
        run.phase === "running" && run.percent === availablePercent && !chosen.includes(run)
        && isRunListReliable(run.worker, maxStopMs)
    );
}

/**
 * Whether the runs that are known of a worker can be taken as running and not stopping.
 *
 * A worker that does not answer may have lost power. Until its leases expire, its tasks may or may not run. A run that a
 * worker lists may also be stopping at the request of an earlier leader, because a worker lists a run until its stop is
 * complete. If such a run counted as available, a second task of the step would be stopped at the same time. An earlier
 * leader's stop request arrived before this leader read its first run list. So a list is reliable once the longest stop
 * time has passed since then.
 */
function isRunListReliable({ runList, isReachable }: Worker, maxStopMs: number): boolean {
    return isReachable && runList.kind === "read"
        && runList.askedAtMs - runList.firstReadAtMs > maxLocalMs(maxStopMs);
}
