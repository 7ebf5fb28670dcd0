import type { Reporter } from "../logging";
import {
    type DurationEstimates,
    failIfExhausted,
    findTask,
    keepTask,
    markDone,
    recordFailure,
    recordSuccess,
    removeRun,
    type Run,
    type SchedulerState,
    type SubmissionEntry,
    type Task,
    type Worker,
} from "../schedule";
import type { ListedEnd } from "./workerApi";

/** What applying the end of a run depends on. */
export interface EndContext {
    readonly state: SchedulerState;
    readonly estimates: DurationEstimates;
    readonly nowMs: number;
    readonly report: Reporter;
    /** Stops a run that is no longer needed. */
    stop(run: Run, reason: string): void;
}

/** Delay before a failed task is retried, in milliseconds. */
const failedRetryMs = 100;

/** A run of a long-running task that is done sooner than this, in milliseconds, was not meant to last. */
const shortRunMs = 1000;

/**
 * How long a submission ranks behind other work after such a run, in milliseconds. Its tasks are started again at once and
 * would otherwise take every start.
 */
const demotionMs = 2000;

/** Applies the end of a run as listed by a worker; returns the entry of the submission that it changed, if any. */
export function applyEnd(worker: Worker, end: ListedEnd, context: EndContext): SubmissionEntry | undefined {
    const task = findTask(context.state, end.task);
    if (task === undefined) {
        return undefined;
    }
    const run = task.runs.find((known) => known.number === end.run && known.worker === worker);
    if (run !== undefined) {
        removeRun(context.state, run, context.nowMs);
    }
    if (end.checkpoint !== "" && task.phase === "waiting") {
        task.checkpoint = end.checkpoint;
        keepTask(task);
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
    return task.entry;
}

function applyDone(worker: Worker, task: Task, run: Run | undefined, context: EndContext): void {
    recordSuccess(worker, context.nowMs);
    // A run that resumed from a checkpoint took less time than the whole task. Its checkpoint can't be told from one
    // that the run saved itself, so durations are recorded only for runs without any.
    if (run !== undefined && run.checkpoint === "") {
        context.estimates.recordDuration(
            task.entry.submission.route,
            task.step.estimateMs,
            context.nowMs - run.plannedAtMs,
        );
    }
    if (task.step.isLongRunning) {
        if (run !== undefined && context.nowMs - run.plannedAtMs < shortRunMs) {
            task.entry.demotedUntilMs = context.nowMs + demotionMs;
        }
        return;
    }
    // The end of one member ends its whole gang. Outside a gang, other runs of the task are no longer needed.
    const finished = task.step.isGang ? membersOf(task) : [task];
    for (const member of finished) {
        markDone(member);
        if (!member.step.isGang) {
            member.runs.forEach((other) => context.stop(other, "another run of the task is done"));
        }
    }
}

function applyFailed(worker: Worker, task: Task, number: number, context: EndContext): void {
    recordFailure(worker, task.entry.submission.id, context.nowMs);
    task.failedWorkerIds.add(worker.id);
    task.notBeforeMs = context.nowMs + failedRetryMs;
    if (task.phase !== "waiting" || task.step.isLongRunning) {
        return;
    }
    keepTask(task);
    // A gang fails as a whole: its members share one count of attempts.
    const failing = task.step.isGang ? membersOf(task) : [task];
    failing.forEach(({ failedRuns }) => failedRuns.add(number));
    context.report({
        kind: "attemptFailed",
        task: task.name,
        run: number,
        failedAttempts: task.failedRuns.size,
        maxAttempts: task.entry.maxAttempts,
    });
    failIfExhausted(task);
}

function membersOf(task: Task): readonly Task[] {
    return [...task.stepTasks.started.values()];
}
