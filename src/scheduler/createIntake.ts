import type { Reporter } from "../logging";
import type { DemandMeter } from "../machines";
import { progressKey, type TaskProgress } from "../progress";
import {
    addDueOccurrences,
    addSubmission,
    type Board,
    type Estimates,
    isComplete,
    lookAhead,
    type Run,
    type SubmissionEntry,
    tasksOf,
    type Worker,
} from "../schedule";
import type { StoreItem } from "../store";
import { decodeRecord, type FinalState, submissionPrefix, SubmissionState } from "../submissions";
import { restoreProgress } from "./restoreProgress";

export interface IntakeOptions {
    readonly board: Board;
    readonly estimates: Estimates;
    readonly meter: DemandMeter;
    readonly report: Reporter;
    readonly steadyMs: () => number;
    stop(run: Run, reason: string): void;
    /** The worker of a run that an earlier owner recorded. */
    findWorker(id: string, bornMs: number): Worker;
    /** Records the submission as it is now. */
    save(entry: SubmissionEntry): void;
}

/** What earlier owners recorded of a submission, and at which revision. */
export interface StoredProgress {
    readonly tasks: readonly TaskProgress[];
    readonly revision: number;
}

/** The submissions of a tenure, from the store's record to their end. */
export interface Intake {
    /** What earlier owners recorded; to be given before any submission. */
    restoreFrom(progress: ReadonlyMap<string, StoredProgress>): void;
    /** A submission's record in the store is new or has changed; `undefined`: it was removed. */
    take(key: string, item: StoreItem | undefined): void;
    cancel(entry: SubmissionEntry): void;
    /** Decides the end of a submission where it has come, once. */
    settle(entry: SubmissionEntry): void;
    /** The end is in the store. */
    noteEnded(entry: SubmissionEntry): void;
    hasEnded(entry: SubmissionEntry): boolean;
    /** Takes a submission off the board whose end is stored and of which nothing runs. */
    forgetIfOver(entry: SubmissionEntry): void;
    findState(id: string): SubmissionState | undefined;
    countPending(route: string): number;
    /** Ids of submissions that ended longer ago than this time of day; each is given once, `most` at a time. */
    takeEndedBefore(cutMs: number, most: number): readonly string[];
}

/** Takes submissions in from the store and follows each to its end. */
export function createIntake(opts: IntakeOptions): Intake {
    const { board, report, steadyMs } = opts;
    const finished = new Map<string, { readonly state: FinalState; readonly atMs: number; }>();
    let progress: ReadonlyMap<string, StoredProgress> = new Map();

    function take(key: string, item: StoreItem | undefined): void {
        const id = key.slice(submissionPrefix.length);
        const record = item === undefined ? undefined : decodeRecord(item.text);
        if (item === undefined || record === undefined) {
            finished.delete(id);
            return;
        }
        if (record.kind === "final") {
            finished.set(id, { state: record.state, atMs: record.endedAtMs });
            return;
        }
        const known = board.submissions.get(id);
        if (known !== undefined) {
            known.revision = item.revision;
            if (record.isCancelled) {
                cancel(known);
            }
            return;
        }
        const nowMs = steadyMs();
        const entry = addSubmission(board, record.submission, item.revision, record.isCancelled, nowMs);
        const stored = progress.get(progressKey(id));
        if (stored !== undefined) {
            entry.progressRevision = stored.revision;
            restoreProgress(board, entry, stored.tasks, opts.findWorker, nowMs);
        }
        addDueOccurrences(entry, Date.now(), nowMs);
        const ageMs = Math.max(0, Date.now() - record.submission.acceptedAtMs);
        const { workCoreMs, chainMs } = lookAhead(entry, opts.estimates, nowMs);
        if (workCoreMs > 0) {
            const cpuMillis = 1000 * workCoreMs / Math.max(1, chainMs);
            opts.meter.note(record.submission.service, { cpuMillis, stayMs: chainMs }, nowMs, ageMs);
        }
        reportChange(entry, "taken");
        settle(entry);
    }

    function reportChange({ submission }: SubmissionEntry, change: string): void {
        const { id, route, acceptedAtMs } = submission;
        report({ kind: "submission", submission: id, change, route, sinceAcceptedMs: Date.now() - acceptedAtMs });
    }

    function cancel(entry: SubmissionEntry): void {
        entry.isCancelled = true;
        settle(entry);
    }

    function settle(entry: SubmissionEntry): void {
        if (entry.ending !== undefined) {
            return;
        }
        const tasks = [...tasksOf(entry)];
        if (entry.isCancelled) {
            entry.ending = "cancelled";
        }
        else if (tasks.some(({ phase }) => phase === "failed")) {
            entry.ending = "failed";
        }
        else if (isComplete(entry)) {
            entry.ending = "complete";
        }
        else {
            return;
        }
        const { ending } = entry;
        tasks.forEach((task) => [...task.runs].forEach((run) => opts.stop(run, `its submission is ${ending}`)));
        opts.save(entry);
    }

    function forgetIfOver(entry: SubmissionEntry): void {
        // Runs that are still being stopped are looked up by their submission.
        const isOver = finished.has(entry.submission.id) && entry.ending !== undefined;
        if (isOver && [...tasksOf(entry)].every((task) => task.runs.length === 0)) {
            board.submissions.delete(entry.submission.id);
        }
    }

    return {
        restoreFrom: (next) => void (progress = next),
        take,
        cancel,
        settle,
        noteEnded(entry) {
            if (entry.ending !== undefined) {
                finished.set(entry.submission.id, { state: entry.ending, atMs: Date.now() });
                reportChange(entry, entry.ending);
            }
            forgetIfOver(entry);
        },
        hasEnded: ({ submission }) => finished.has(submission.id),
        forgetIfOver,
        findState(id) {
            const entry = board.submissions.get(id);
            const state = finished.get(id)?.state;
            if (state !== undefined || entry === undefined) {
                return state;
            }
            return entry.isCancelled
                ? SubmissionState.cancelled
                : entry.hasBegun
                ? SubmissionState.running
                : SubmissionState.pending;
        },
        countPending(route) {
            let count = 0;
            for (const entry of board.submissions.values()) {
                const isWaiting = !entry.hasBegun && !entry.isCancelled;
                count += isWaiting && entry.submission.route === route ? 1 : 0;
            }
            return count;
        },
        takeEndedBefore(cutMs, most) {
            const old = [...finished].filter(([, { atMs }]) => atMs < cutMs).slice(0, most).map(([id]) => id);
            old.forEach((id) => finished.delete(id));
            return old;
        },
    };
}
