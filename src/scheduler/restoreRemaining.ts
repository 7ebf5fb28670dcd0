import {
    addOccurrence,
    addRun,
    addSubmission,
    type SchedulerState,
    type SubmissionEntry,
    taskAt,
    type Worker,
} from "../schedule";
import type { RemainingRuns } from "../submissions";

/**
 * Restores the runs that had not ended when an earlier leader recorded the end of their submission, so that they count
 * against their worker and their client account until they are known to have ended. They stay `unconfirmed` until their
 * worker has been polled or its leases have expired.
 */
export function restoreRemaining(
    state: SchedulerState,
    { submission, runs }: RemainingRuns,
    finalState: NonNullable<SubmissionEntry["finalState"]>,
    revision: number,
    findWorker: (id: string, bornMs: number) => Worker,
    nowMs: number,
): SubmissionEntry {
    const entry = addSubmission(state, submission, revision, finalState === "cancelled", nowMs);
    entry.finalState = finalState;
    entry.hasStarted = true;
    for (const [occurrence, step, index, number, workerId, bornMs] of runs) {
        const { steps } = entry.occurrences.get(occurrence) ?? addOccurrence(entry, nowMs, occurrence);
        const tasks = steps[step];
        if (tasks !== undefined) {
            addRun(state, taskAt(tasks, index), findWorker(workerId, bornMs), number, "unconfirmed", nowMs);
        }
    }
    return entry;
}
