import type { SubmissionEntry, Task } from "./schedulerState";
import { markFailed } from "./stepTasks";
import { startedTasksOf } from "./submissionEntries";

/** Whether a task may be started once more; not while it has failed and its number of attempts is not known. */
export function hasAttemptLeft({ entry, failedRuns, step }: Task): boolean {
    return step.isLongRunning || failedRuns.size === 0 || failedRuns.size < (entry.maxAttempts ?? 0);
}

/** Marks a waiting task as failed once all of its attempts have. Long-running tasks are always restarted. */
export function failIfExhausted(task: Task): void {
    const { maxAttempts } = task.entry;
    const isJudged = task.phase === "waiting" && !task.step.isLongRunning && maxAttempts !== undefined;
    if (isJudged && task.failedRuns.size > 0 && task.failedRuns.size >= maxAttempts) {
        markFailed(task);
    }
}

/** Sets the number of attempts of a submission's tasks, and judges the failures that came before it was known. */
export function setMaxAttempts(entry: SubmissionEntry, maxAttempts: number): void {
    entry.maxAttempts = maxAttempts;
    for (const task of startedTasksOf(entry)) {
        failIfExhausted(task);
    }
}
