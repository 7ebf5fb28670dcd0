import type { TaskProgress } from "../progress";
import { addOccurrence, addRun, type SchedulerState, type SubmissionEntry, type Worker } from "../schedule";

/**
 * Restores a submission's progress, as an earlier leader recorded it, into the scheduler state. Recorded starts may be
 * running. They stay `unconfirmed` until their worker has been polled or its leases have expired.
 */
export function restoreProgress(
    state: SchedulerState,
    entry: SubmissionEntry,
    progress: readonly TaskProgress[],
    findWorker: (id: string, bornMs: number) => Worker,
    nowMs: number,
): void {
    for (const row of progress) {
        while (entry.occurrences.length <= row.occurrence) {
            addOccurrence(entry, nowMs);
        }
        const task = entry.occurrences[row.occurrence]?.tasks[row.step]?.[row.index];
        if (task === undefined) {
            continue;
        }
        entry.hasStarted = true;
        task.phase = row.phase;
        task.lastRun = row.lastRun;
        task.checkpoint = row.checkpoint;
        row.failedRuns.forEach((number) => task.failedRuns.add(number));
        for (const { number, workerId, bornMs } of row.runs) {
            addRun(state, task, findWorker(workerId, bornMs), number, "unconfirmed", nowMs);
        }
    }
}
