import type { Task, Worker, WorkerOutcomes } from "./board";

/** Submissions that have to fail on a worker, none succeeding, before the worker itself is suspected. */
const suspectAfterSubmissions = 2;

/** A suspected worker gets one task to show itself sound each time after this pause, in milliseconds. */
const probePauseMs = 1500;

/** A success this recent proves a worker sound for a task's last attempt, in milliseconds. */
const provenMs = 5000;

/**
 * A task that has failed waits this long for a worker that is surely sound, in milliseconds. Then one that has not failed
 * anything meanwhile will do: where every worker has failed something and no fresh task comes, none is ever proven.
 */
const doubtMs = 2000;

export function createOutcomes(): WorkerOutcomes {
    return { failedSubmissions: new Set(), lastSuccessAtMs: 0, lastFailureAtMs: 0, quarantinedUntilMs: 0 };
}

export function noteSuccess({ outcomes }: Worker, nowMs: number): void {
    outcomes.failedSubmissions.clear();
    outcomes.lastSuccessAtMs = nowMs;
    outcomes.quarantinedUntilMs = 0;
}

/**
 * A worker that fails all it starts is free again at once, draws ever more work, and eats the attempts of every task in
 * its pool within seconds. One failed submission says nothing (its tasks may always fail); two different ones without a
 * success between them make the worker suspect.
 */
export function noteFailure({ outcomes }: Worker, submission: string, nowMs: number): void {
    outcomes.failedSubmissions.add(submission);
    outcomes.lastFailureAtMs = nowMs;
}

/** Gives the worker no new work for a while: what runs there does not move on. */
export function quarantine({ outcomes }: Worker, untilMs: number): void {
    outcomes.quarantinedUntilMs = untilMs;
}

export function isSuspect({ outcomes }: Worker): boolean {
    return outcomes.failedSubmissions.size >= suspectAfterSubmissions;
}

/** Whether a task may be risked on a worker. */
export function isSound(worker: Worker, task: Task, nowMs: number): boolean {
    const { outcomes } = worker;
    if (nowMs < outcomes.quarantinedUntilMs) {
        return false;
    }
    const sinceFailureMs = nowMs - outcomes.lastFailureAtMs;
    const mayTakeFailed = sinceFailureMs > doubtMs;
    if (isSuspect(worker)) {
        const isProbeDue = sinceFailureMs > probePauseMs && !hasProbe(worker, nowMs);
        return isProbeDue && (task.failedRuns.size === 0 || mayTakeFailed);
    }
    // A task that has failed goes where others have just succeeded, if it failed elsewhere.
    const isDoubtful = outcomes.failedSubmissions.size > 0 && nowMs - outcomes.lastSuccessAtMs > provenMs;
    return task.failedRuns.size === 0 || mayTakeFailed || !isDoubtful;
}

/** Whether a run may still show a worker to be sound. One that lasts never ends as done, so it shows so by running on. */
function hasProbe({ runs }: Worker, nowMs: number): boolean {
    return [...runs].some(({ task, plannedAtMs }) => !task.step.isLongRunning || nowMs - plannedAtMs <= doubtMs);
}
