import type { Task, Worker, WorkerOutcomes } from "./schedulerState";

/** Number of submissions that have to fail on a worker, with no success between them, until the worker is suspect. */
const suspectAfterSubmissions = 2;

/** Time since its last failure after which a suspect worker gets one task as a probe, in milliseconds. */
const probeIntervalMs = 1500;

/** A success at most this old proves a worker healthy for a task that has failed before, in milliseconds. */
const successValidMs = 5000;

/**
 * Time since its last failure after which an unproven worker may run a task that has failed before, in milliseconds.
 * Without this, if every worker has had a failure and only tasks that have failed before are waiting, no worker would
 * ever be proven healthy again.
 */
const failureMemoryMs = 2000;

/** Outcomes of a worker on which nothing has ended yet. */
export function createOutcomes(): WorkerOutcomes {
    return { failedSubmissions: new Set(), lastSuccessAtMs: 0, lastFailureAtMs: 0, quarantinedUntilMs: 0 };
}

/** Records a run that ended as done. The worker is neither suspect nor quarantined any more. */
export function recordSuccess({ outcomes }: Worker, nowMs: number): void {
    outcomes.failedSubmissions.clear();
    outcomes.lastSuccessAtMs = nowMs;
    outcomes.quarantinedUntilMs = 0;
}

/**
 * Records a failed run. A worker on which every run fails is free again at once, attracts more and more work, and uses
 * up the attempts of every task in its pool within seconds. One failed submission is no evidence, because its tasks may
 * always fail. Two different ones with no success between them make the worker suspect.
 */
export function recordFailure({ outcomes }: Worker, submission: string, nowMs: number): void {
    outcomes.failedSubmissions.add(submission);
    outcomes.lastFailureAtMs = nowMs;
}

/**
 * Keeps new work off a worker whose runs make no progress.
 *
 * @param untilMs end of the quarantine, on the monotonic clock
 */
export function quarantine({ outcomes }: Worker, untilMs: number): void {
    outcomes.quarantinedUntilMs = untilMs;
}

/** Whether the recent failures point to the worker and not to the tasks. */
export function isSuspect({ outcomes }: Worker): boolean {
    return outcomes.failedSubmissions.size >= suspectAfterSubmissions;
}

/** Whether a worker is healthy enough for a task, given the earlier failures of both. */
export function isHealthyFor(worker: Worker, task: Task, nowMs: number): boolean {
    const { outcomes } = worker;
    if (nowMs < outcomes.quarantinedUntilMs) {
        return false;
    }
    const sinceFailureMs = nowMs - outcomes.lastFailureAtMs;
    const mayRetryFailed = sinceFailureMs > failureMemoryMs;
    if (isSuspect(worker)) {
        const isProbeDue = sinceFailureMs > probeIntervalMs && !hasProbe(worker, nowMs);
        return isProbeDue && (task.failedRuns.size === 0 || mayRetryFailed);
    }
    // A task that has failed before goes to a worker with a recent success or without failures.
    const isUnproven = outcomes.failedSubmissions.size > 0 && nowMs - outcomes.lastSuccessAtMs > successValidMs;
    return task.failedRuns.size === 0 || mayRetryFailed || !isUnproven;
}

/**
 * Whether a run on the worker may still prove it healthy. A long-running task never ends as done, so it proves the
 * worker healthy by running for `failureMemoryMs`.
 */
function hasProbe({ runs }: Worker, nowMs: number): boolean {
    return [...runs].some(({ task, plannedAtMs }) =>
        !task.step.isLongRunning || nowMs - plannedAtMs <= failureMemoryMs
    );
}
