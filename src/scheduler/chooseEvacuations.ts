import { longestMs } from "../runs";
import { type Board, groupByPool, placeTask, type Run, type Worker } from "../schedule";

/** A long-running task counts as at work at this progress. */
const atWorkPercent = 100;

export interface EvacuationOptions {
    readonly board: Board;
    /** It goes without places for its tasks. */
    readonly isUrgent: boolean;
    readonly nowMs: number;
    /** Longest time that a stop takes on a worker, in milliseconds. */
    readonly maxStopMs: number;
}

/**
 * Which runs of a worker may be stopped now so that it becomes empty.
 *
 * A step that serves users bears only so many of its tasks away at once by our doing; one that is already short of tasks
 * for another reason has to wait. Tasks go where there is room; when it is urgent they go without, and wait for room.
 * Short tasks are left to end.
 */
export function chooseEvacuations(worker: Worker, opts: EvacuationOptions): readonly Run[] {
    const { board, nowMs } = opts;
    const others = (groupByPool(board).get(worker.pool) ?? []).filter((other) => other !== worker);
    const chosen: Run[] = [];
    for (const run of worker.runs) {
        const { step } = run.task;
        const isPlaceable = opts.isUrgent || placeTask(run.task, { workers: others, nowMs }) !== undefined;
        if (run.phase === "running" && step.isLongRunning && isPlaceable && mayLeave(run, chosen, opts)) {
            chosen.push(run);
        }
    }
    return chosen;
}

function mayLeave({ task }: Run, chosen: readonly Run[], { maxStopMs }: EvacuationOptions): boolean {
    const { step, owner, occurrence, stepNumber } = task;
    if (step.maxUnavailable === 0) {
        return true;
    }
    const siblings = owner.occurrences[occurrence]?.tasks[stepNumber] ?? [];
    const away = siblings.filter((other) => other !== task && !isAtWork(other.runs, chosen, maxStopMs)).length;
    return away < step.maxUnavailable;
}

function isAtWork(runs: readonly Run[], chosen: readonly Run[], maxStopMs: number): boolean {
    return runs.some((run) =>
        run.phase === "running" && run.percent === atWorkPercent && !chosen.includes(run)
        && isSurelyWanted(run.worker, maxStopMs)
    );
}

/**
 * Whether what a worker is known to run is at work there.
 *
 * One that does not answer may have lost power: until its leases are over its tasks may run, and nobody knows. Nor can what
 * it lists be on its way out by a stop of the owner before: a worker lists a run until its stop is over. Taken for at work,
 * a second task of the step would be stopped beside it. An earlier owner's stop arrived before this owner was shown the
 * list, so once the longest stop has passed since then, a list is true.
 */
function isSurelyWanted({ runList, isReachable }: Worker, maxStopMs: number): boolean {
    return isReachable && runList.kind === "read"
        && runList.askedAtMs - runList.firstReadAtMs > longestMs(maxStopMs);
}
