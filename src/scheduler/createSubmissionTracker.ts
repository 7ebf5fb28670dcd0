import type { Reporter } from "../logging";
import type { DemandMeter } from "../machines";
import type { Policy } from "../policy";
import { progressKey, type SubmissionProgress } from "../progress";
import {
    type AccountLimits,
    addDueOccurrences,
    addSubmission,
    type DurationEstimates,
    estimateRemaining,
    findMaxAttempts,
    isComplete,
    recordProgressBytes,
    type Run,
    type SchedulerState,
    setMaxAttempts,
    startedTasksOf,
    type SubmissionEntry,
    Timeliness,
    type Worker,
} from "../schedule";
import type { StoreItem } from "../store";
import {
    decodeRecord,
    type FinalState,
    isTombstone,
    type RemainingRuns,
    submissionIdOf,
    SubmissionState,
} from "../submissions";
import type { EndedSubmission } from "./createRecordRemover";
import type { SubmissionClassifier } from "./createSubmissionClassifier";
import { describeEnd, type EndContext, findEndTimeliness } from "./describeEnd";
import { restoreProgress } from "./restoreProgress";
import { restoreRemaining } from "./restoreRemaining";

export interface SubmissionTrackerOptions {
    readonly state: SchedulerState;
    readonly estimates: DurationEstimates;
    readonly meter: DemandMeter;
    readonly limits: Pick<AccountLimits, "learn">;
    readonly classifier: Pick<SubmissionClassifier, "addOpen" | "addFinal">;
    /** Current configuration; `undefined` until one has been read. */
    readonly policy: () => Policy | undefined;
    readonly report: Reporter;
    readonly steadyMs: () => number;
    /** How long after its submission has ended a run may still be running, in milliseconds. */
    readonly remainingRunMs: number;
    stop(run: Run, reason: string): void;
    /** Finds or adds the worker of a run that an earlier leader recorded. */
    findWorker(id: string, bornMs: number): Worker;
    /** Writes the submission's current progress to the store. */
    save(entry: SubmissionEntry): void;
}

/** Progress of a submission as recorded by earlier leaders, and the revision of that record. */
export interface StoredProgress {
    readonly progress: SubmissionProgress;
    readonly revision: number;
    /** Length of the record, in bytes. */
    readonly bytes: number;
}

/** End of a submission; `state` is `undefined` if it was cancelled before it was stored. */
interface EndedState {
    readonly state: FinalState | undefined;
    readonly atMs: number;
    /** Revision of the record. */
    readonly revision: number;
}

/** Tracks submissions during a tenure, from their record in the store to their final state. */
export interface SubmissionTracker {
    /** Sets the progress that earlier leaders recorded. Has to be called before any submission is handled. */
    restoreFrom(progress: ReadonlyMap<string, StoredProgress>): void;
    /** Handles a new or changed submission record from the store. `item` is `undefined` if the record was removed. */
    handleRecord(key: string, item: StoreItem | undefined): void;
    /** Looks up numbers of attempts that are not known yet. Has to be called after each change of the configuration. */
    applyPolicy(): void;
    /** Marks a submission as cancelled and decides its final state. */
    cancel(entry: SubmissionEntry): void;
    /**
     * Decides a submission's final state once its tasks or a cancellation determine it, stops its runs and saves it. Does
     * nothing if the state is decided already.
     */
    settle(entry: SubmissionEntry): void;
    /** Handles that the final state has been written to the store. */
    handleFinalStored(entry: SubmissionEntry): void;
    /** Whether the final state is in the store. */
    hasEnded(entry: SubmissionEntry): boolean;
    /** Removes a submission from the scheduler state if its final state is stored and none of its tasks runs. */
    forgetIfOver(entry: SubmissionEntry): void;
    /** `undefined` also for a submission that was cancelled before it was stored. */
    findState(id: string): SubmissionState | undefined;
    /** Counts the submissions of a queue that have not started and are not cancelled. */
    countPending(route: string): number;
    /**
     * Returns submissions that ended before a time of day. Returns each once.
     *
     * @param endedBeforeMs milliseconds since 1970
     */
    takeEndedBefore(endedBeforeMs: number, maxCount: number): readonly EndedSubmission[];
}

/** Creates a tracker that adds submissions from the store and follows each to its final state. */
export function createSubmissionTracker(opts: SubmissionTrackerOptions): SubmissionTracker {
    const { state: schedulerState, report, steadyMs } = opts;
    const finalStates = new Map<string, EndedState>();
    let storedProgress = new Map<string, StoredProgress>();

    function applyRecord(key: string, item: StoreItem | undefined): void {
        const id = submissionIdOf(key);
        const record = item === undefined ? undefined : decodeRecord(item.text);
        if (item === undefined || record === undefined) {
            finalStates.delete(id);
            return;
        }
        if (record.kind === "final") {
            // The end of a submission that this leader has read while it was open is not counted again.
            const isNew = !finalStates.has(id) && !schedulerState.submissions.has(id);
            if (isNew) {
                opts.classifier.addFinal(record.tenant, record.acceptedAtMs);
            }
            finalStates.set(id, {
                state: isTombstone(record) ? undefined : record.state,
                atMs: record.endedAtMs,
                revision: item.revision,
            });
            if (isNew && record.remaining !== undefined && isWithin(record.endedAtMs, opts.remainingRunMs)) {
                stopRemaining(record.remaining, record.state, item.revision);
            }
            return;
        }
        const known = schedulerState.submissions.get(id);
        if (known !== undefined) {
            known.revision = item.revision;
            if (record.isCancelled) {
                cancel(known);
            }
            return;
        }
        if (finalStates.has(id)) {
            // The watch may deliver an open record that this leader has already replaced by the final one.
            return;
        }
        const nowMs = steadyMs();
        const entry = addSubmission(schedulerState, record.submission, item.revision, record.isCancelled, nowMs);
        const stored = storedProgress.get(progressKey(id));
        if (stored !== undefined) {
            entry.progressRevision = stored.revision;
            restoreProgress(schedulerState, entry, stored.progress, opts.findWorker, nowMs);
            recordProgressBytes(entry, stored.bytes);
            storedProgress.delete(progressKey(id));
        }
        addDueOccurrences(entry, Date.now(), nowMs);
        findAttempts(entry);
        opts.limits.learn(record.submission);
        const ageMs = Math.max(0, Date.now() - record.submission.acceptedAtMs);
        const { workCoreMs, criticalPathMs } = estimateRemaining(entry, opts.estimates, nowMs);
        if (workCoreMs > 0) {
            const cpuMillis = 1000 * workCoreMs / Math.max(1, criticalPathMs);
            opts.meter.recordArrival(
                record.submission.service,
                { cpuMillis, minDurationMs: criticalPathMs },
                nowMs,
                ageMs,
            );
        }
        opts.classifier.addOpen(entry);
        settle(entry);
    }

    function stopRemaining(remaining: RemainingRuns, finalState: FinalState, revision: number): void {
        const entry = restoreRemaining(
            schedulerState,
            remaining,
            finalState,
            revision,
            opts.findWorker,
            steadyMs(),
        );
        reportChange(entry, "stillStopping");
        stopRuns(entry, finalState);
    }

    function stopRuns(entry: SubmissionEntry, finalState: FinalState): void {
        for (const { runs } of [...startedTasksOf(entry)]) {
            [...runs].forEach((run) => opts.stop(run, `its submission is ${finalState}`));
        }
    }

    function findAttempts(entry: SubmissionEntry): void {
        const maxAttempts = findMaxAttempts(opts.policy(), entry.submission);
        if (maxAttempts !== undefined) {
            setMaxAttempts(entry, maxAttempts);
        }
    }

    function applyPolicy(): void {
        for (const entry of schedulerState.submissions.values()) {
            if (entry.maxAttempts === undefined) {
                findAttempts(entry);
                settle(entry);
            }
        }
    }

    function reportChange({ submission }: SubmissionEntry, change: string): void {
        const { id, route, acceptedAtMs } = submission;
        report({ kind: "submission", submission: id, change, route, sinceAcceptedMs: Date.now() - acceptedAtMs });
    }

    function reportEnd(entry: SubmissionEntry, change: FinalState): void {
        const { id: submission, route } = entry.submission;
        const context = contextOf(entry);
        const details = describeEnd(entry, context);
        report({ kind: "submission", submission, change, route, sinceAcceptedMs: context.ageMs, ...details });
    }

    function cancel(entry: SubmissionEntry): void {
        entry.isCancelled = true;
        settle(entry);
    }

    function settle(entry: SubmissionEntry): void {
        if (entry.finalState !== undefined) {
            return;
        }
        if (entry.isCancelled) {
            entry.finalState = "cancelled";
            schedulerState.serviceShares.recordCancelled(entry);
        }
        else if (entry.failedCount > 0) {
            entry.finalState = "failed";
            schedulerState.serviceShares.recordServed(entry);
        }
        else if (isComplete(entry)) {
            entry.finalState = "complete";
            countServed(entry);
        }
        else {
            return;
        }
        stopRuns(entry, entry.finalState);
        opts.save(entry);
    }

    function contextOf({ submission }: SubmissionEntry): EndContext {
        const ageMs = Date.now() - submission.acceptedAtMs;
        return { policy: opts.policy(), estimates: opts.estimates, nowMs: steadyMs(), ageMs };
    }

    function countServed(entry: SubmissionEntry): void {
        const timeliness = findEndTimeliness(entry, contextOf(entry));
        if (timeliness !== undefined && timeliness !== Timeliness.tooLate) {
            schedulerState.serviceShares.recordServed(entry);
        }
    }

    function forgetIfOver(entry: SubmissionEntry): void {
        // Runs that are still being stopped are found through their submission.
        const isFinal = finalStates.has(entry.submission.id) && entry.finalState !== undefined;
        if (isFinal && !hasRuns(entry)) {
            schedulerState.submissions.delete(entry.submission.id);
        }
    }

    return {
        restoreFrom: (next) => void (storedProgress = new Map(next)),
        handleRecord: applyRecord,
        applyPolicy,
        cancel,
        settle,
        handleFinalStored(entry) {
            if (entry.finalState !== undefined) {
                const { finalState: state, revision } = entry;
                finalStates.set(entry.submission.id, { state, atMs: Date.now(), revision });
                reportEnd(entry, state);
            }
            forgetIfOver(entry);
        },
        hasEnded: ({ submission }) => finalStates.has(submission.id),
        forgetIfOver,
        findState(id) {
            const entry = schedulerState.submissions.get(id);
            const state = finalStates.get(id)?.state;
            if (state !== undefined || entry === undefined) {
                return state;
            }
            return entry.isCancelled
                ? SubmissionState.cancelled
                : entry.hasStarted
                ? SubmissionState.running
                : SubmissionState.pending;
        },
        countPending(route) {
            let count = 0;
            for (const entry of schedulerState.submissions.values()) {
                const isWaiting = !entry.hasStarted && !entry.isCancelled;
                count += isWaiting && entry.submission.route === route ? 1 : 0;
            }
            return count;
        },
        takeEndedBefore(endedBeforeMs, maxCount) {
            const ended = [...finalStates].filter(([, { atMs }]) => atMs < endedBeforeMs).slice(0, maxCount);
            ended.forEach(([id]) => finalStates.delete(id));
            return ended.map(([id, { revision }]) => ({ id, revision }));
        },
    };
}

function hasRuns(entry: SubmissionEntry): boolean {
    for (const { runs } of startedTasksOf(entry)) {
        if (runs.length > 0) {
            return true;
        }
    }
    return false;
}

/** Whether a time of day is less than this long ago or, by another entry's clock, ahead. */
function isWithin(timeOfDayMs: number, spanMs: number): boolean {
    return Math.abs(Date.now() - timeOfDayMs) < spanMs;
}
