import type { Policy } from "../policy";
import {
    type Board,
    type Estimates,
    findTask,
    noteFailure,
    noteSuccess,
    removeRun,
    routeOf,
    type Run,
    type SubmissionEntry,
    type Task,
    type Worker,
} from "../schedule";
import type { EndRow } from "./taskWorkers";

export interface EndContext {
    readonly board: Board;
    readonly policy: Policy | undefined;
    readonly estimates: Estimates;
    readonly nowMs: number;
    /** The run is not needed any more. */
    stop(run: Run, reason: string): void;
}

/** Pause before a failed task is started again, in milliseconds. */
const failedPauseMs = 100;

/** Attempts of a task before any configuration has been read. */
const defaultMaxAttempts = 2;

/** Takes in one end that a worker lists; gives the submission that it changed. */
export function applyEnd(worker: Worker, end: EndRow, context: EndContext): SubmissionEntry | undefined {
    const task = findTask(context.board, end.task);
    if (task === undefined) {
        return undefined;
    }
    const run = task.runs.find((known) => known.number === end.run && known.worker === worker);
    if (run !== undefined) {
        removeRun(context.board, run, context.nowMs);
    }
    if (end.checkpoint !== "" && task.phase === "waiting") {
        task.checkpoint = end.checkpoint;
    }
    switch (end.how) {
        case "done":
            applyDone(worker, task, run, context);
            break;
        case "failed":
            applyFailed(worker, task, end.run, context);
            break;
        case "stopped":
        case "lapsed":
        case "broken":
        case "alone":
            break;
    }
    return task.owner;
}

function applyDone(worker: Worker, task: Task, run: Run | undefined, context: EndContext): void {
    noteSuccess(worker, context.nowMs);
    if (run !== undefined && run.checkpoint === "") {
        context.estimates.learn(
            task.owner.submission.route,
            task.step.estimateMs,
            context.nowMs - run.plannedAtMs,
        );
    }
    if (task.step.isLongRunning) {
        return;
    }
    // One member's end stands for its whole gang; a copy that is still running is not needed.
    const finished = task.step.isGang ? membersOf(task) : [task];
    for (const member of finished) {
        member.phase = "done";
        if (!member.step.isGang) {
            member.runs.forEach((copy) => context.stop(copy, "another copy is done"));
        }
    }
}

function applyFailed(worker: Worker, task: Task, number: number, context: EndContext): void {
    noteFailure(worker, task.owner.submission.id, context.nowMs);
    task.failedOn.add(worker.id);
    task.notBeforeMs = context.nowMs + failedPauseMs;
    if (task.phase !== "waiting" || task.step.isLongRunning) {
        return;
    }
    // A gang fails as a whole: its members share one number of attempts.
    const failing = task.step.isGang ? membersOf(task) : [task];
    failing.forEach(({ failedRuns }) => failedRuns.add(number));
    const { policy } = context;
    const maxAttempts = policy === undefined ? defaultMaxAttempts : routeOf(policy, task.owner.submission).maxAttempts;
    if (task.failedRuns.size >= maxAttempts) {
        task.phase = "failed";
    }
}

function membersOf(task: Task): readonly Task[] {
    return task.owner.occurrences[task.occurrence]?.tasks[task.stepNumber] ?? [task];
}
