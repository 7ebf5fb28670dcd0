import type { SubmissionProgress, TaskProgress } from "../progress";
import {
    addOccurrence,
    addRun,
    keepTask,
    markFailed,
    restoreDone,
    type SchedulerState,
    type StepTasks,
    type SubmissionEntry,
    taskAt,
    type Worker,
} from "../schedule";

/**
 * Restores a submission's progress, as an earlier leader recorded it, into the scheduler state. Recorded starts may be
 * running. They stay `unconfirmed` until their worker has been polled or its leases have expired.
 */
export function restoreProgress(
    state: SchedulerState,
    entry: SubmissionEntry,
    progress: SubmissionProgress,
    findWorker: (id: string, bornMs: number) => Worker,
    nowMs: number,
): void {
    progress.doneOccurrences.forEach((range) => entry.doneOccurrences.addRange(range));
    addRecordedOccurrences(entry, progress, nowMs);
    for (const row of progress.tasks) {
        const tasks = findTasks(entry, row);
        if (tasks !== undefined && row.phase !== "done") {
            restoreTask(state, tasks, row, findWorker, nowMs);
        }
    }
    // Occurrences that are done are forgotten, so ranges of done tasks come last.
    for (const { occurrence, step, index } of progress.tasks.filter(({ phase }) => phase === "done")) {
        const tasks = findTasks(entry, { occurrence, step });
        if (tasks !== undefined) {
            restoreDone(tasks, [index, index + 1]);
        }
    }
    for (const { occurrence, step, range } of progress.done) {
        const tasks = findTasks(entry, { occurrence, step });
        if (tasks !== undefined) {
            restoreDone(tasks, range);
        }
    }
    entry.hasStarted ||= entry.addedOccurrences > 0;
}

/** Adds the occurrences up to the last recorded one, apart from those whose tasks are all done. */
function addRecordedOccurrences(entry: SubmissionEntry, progress: SubmissionProgress, nowMs: number): void {
    const last = [...progress.tasks, ...progress.done].reduce((most, { occurrence }) => Math.max(most, occurrence), -1);
    const end = progress.doneOccurrences.reduce((most, [, rangeEnd]) => Math.max(most, rangeEnd), last + 1);
    while (entry.addedOccurrences < end) {
        const next = entry.doneOccurrences.nextMissing(entry.addedOccurrences);
        entry.addedOccurrences = next;
        if (next < end) {
            addOccurrence(entry, nowMs);
        }
    }
}

function findTasks(
    entry: SubmissionEntry,
    { occurrence, step }: { readonly occurrence: number; readonly step: number; },
): StepTasks | undefined {
    return entry.occurrences.get(occurrence)?.steps[step];
}

function restoreTask(
    state: SchedulerState,
    tasks: StepTasks,
    row: TaskProgress,
    findWorker: (id: string, bornMs: number) => Worker,
    nowMs: number,
): void {
    const task = taskAt(tasks, row.index);
    task.lastRun = row.lastRun;
    task.checkpoint = row.checkpoint;
    row.failedRuns.forEach((number) => task.failedRuns.add(number));
    keepTask(task);
    if (row.phase === "failed") {
        markFailed(task);
    }
    for (const { number, workerId, bornMs } of row.runs) {
        addRun(state, task, findWorker(workerId, bornMs), number, "unconfirmed", nowMs);
    }
}
