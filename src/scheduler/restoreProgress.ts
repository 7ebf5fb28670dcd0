import type { TaskProgress } from "../progress";
import { addOccurrence, addRun, type Board, type SubmissionEntry, type Worker } from "../schedule";

/**
 * Puts what an earlier owner recorded of a submission back on the board. Starts that it recorded may be running; they
 * stay `unconfirmed` until their worker has been asked or its leases have run out.
 */
export function restoreProgress(
    board: Board,
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
        entry.hasBegun = true;
        task.phase = row.phase;
        task.lastRun = row.lastRun;
        task.checkpoint = row.checkpoint;
        row.failedRuns.forEach((number) => task.failedRuns.add(number));
        for (const { number, workerId, bornMs } of row.runs) {
            addRun(board, task, findWorker(workerId, bornMs), number, "unconfirmed", nowMs);
        }
    }
}
