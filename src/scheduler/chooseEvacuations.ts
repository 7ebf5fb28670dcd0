import { type Board, groupByPool, placeTask, type Run, type Worker } from "../schedule";

/** A long-running task counts as at work at this progress. */
const atWorkPercent = 100;

/**
 * Which runs of a worker may be stopped now so that it becomes empty.
 *
 * A step that serves users bears only so many of its tasks away at once by our doing; one that is already short of tasks
 * for another reason has to wait. Tasks go where there is room; when it is urgent they go without, and wait for room.
 * Short tasks are left to end.
 */
export function chooseEvacuations(board: Board, worker: Worker, isUrgent: boolean, nowMs: number): readonly Run[] {
    const others = (groupByPool(board).get(worker.pool) ?? []).filter((other) => other !== worker);
    const chosen: Run[] = [];
    for (const run of worker.runs) {
        const { step } = run.task;
        const isPlaceable = isUrgent || placeTask(run.task, { workers: others, nowMs }) !== undefined;
        if (run.phase === "running" && step.isLongRunning && isPlaceable && mayLeave(run, chosen)) {
            chosen.push(run);
        }
    }
    return chosen;
}

function mayLeave({ task }: Run, chosen: readonly Run[]): boolean {
    const { step, owner, occurrence, stepNumber } = task;
    if (step.maxUnavailable === 0) {
        return true;
    }
    const siblings = owner.occurrences[occurrence]?.tasks[stepNumber] ?? [];
    const away = siblings.filter((other) => other !== task && !isAtWork(other.runs, chosen)).length;
    return away < step.maxUnavailable;
}

function isAtWork(runs: readonly Run[], chosen: readonly Run[]): boolean {
    return runs.some((run) => run.phase === "running" && run.percent === atWorkPercent && !chosen.includes(run));
}
