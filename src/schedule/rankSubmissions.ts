import type { Step, Submission } from "../submissions";
import { hasAttemptLeft } from "./attempts";
import { estimateRemaining, targetAgeMs } from "./estimateRemaining";
import type { DurationEstimates } from "./estimates";
import type { SubmissionQueue } from "./queueOf";
import type { SubmissionEntry, Task } from "./schedulerState";
import { countIdle, countUnstarted, findIdle, listUnstarted, type StepTasks, taskAt } from "./stepTasks";
import { isStepReady } from "./submissionEntries";

/** Tasks that are placed all together or not at all. */
export interface PlacementUnit {
    readonly entry: SubmissionEntry;
    readonly queue: SubmissionQueue;
    /** One task, or all tasks of a gang. */
    readonly tasks: readonly Task[];
}

export interface RankOptions {
    readonly entries: Iterable<SubmissionEntry>;
    readonly queueOf: (submission: Submission) => SubmissionQueue;
    readonly estimates: DurationEstimates;
    readonly nowMs: number;
    readonly timeOfDayMs: number;
    /** Weighted dominant share of a client account. Excess submissions are ordered by it. */
    readonly shareOf: (account: string | undefined) => number;
}

/**
 * Age from which a late submission ranks with those in time, in milliseconds. Newer submissions overtake large or late
 * ones again and again; these would starve while a pool stays full.
 */
const starvationAgeMs = 30_000;

/** A submission with tasks that can start, and its queue. */
export interface RankedEntry {
    readonly entry: SubmissionEntry;
    readonly queue: SubmissionQueue;
}

/** First sort key. Starving submissions are in the same group as those in time. */
const RankGroup = { longRunning: 0, conformingInTime: 1, conformingLate: 2, excessInTime: 3, excessLate: 4 } as const;
type RankGroup = (typeof RankGroup)[keyof typeof RankGroup];

interface Ranked extends RankedEntry {
    readonly group: RankGroup;
    /** Weighted dominant share of the account of an excess submission, otherwise 0. */
    readonly share: number;
    readonly workCoreMs: number;
}

/**
 * Ranks the submissions with tasks that can start, best first.
 *
 * In a busy period a queue's demand is five times its mean for some seconds. That exceeds its pool's capacity, so some
 * submissions have to wait. A submission has nearly all of its value if it ends by its target (stretch times its
 * critical path, plus the queue's latency target) and a fraction of it later. Small submissions have more value per
 * core-second. So those that can still meet their target come first, by priority of the queue and then least remaining
 * work first. Late ones follow, unless they have waited so long that they rank with the first. Promoted ones
 * (`promoteUnderserved`) rank as in time, before the others of their queue's priority.
 *
 * Submissions beyond the rate of their client account follow all others, so that they delay no account within its rate.
 * Among them, those of the account with the smallest weighted dominant share come first, which divides the capacity that
 * the others leave among the accounts that borrow it.
 */
export function rankSubmissions(opts: RankOptions): readonly RankedEntry[] {
    const ranked: Ranked[] = [];
    for (const entry of opts.entries) {
        if (entry.finalState === undefined && !entry.isCancelled && hasStartable(entry, opts.nowMs)) {
            ranked.push(rank(entry, opts.queueOf(entry.submission), opts));
        }
    }
    return ranked.sort((a, b) =>
        a.group - b.group || compareShares(a, b) || a.queue.priority - b.queue.priority
        || Number(b.entry.isPromoted) - Number(a.entry.isPromoted) || a.workCoreMs - b.workCoreMs
    );
}

/** Both shares can be infinite, so they are not subtracted. */
function compareShares(a: Ranked, b: Ranked): number {
    return a.share === b.share ? 0 : a.share < b.share ? -1 : 1;
}

function rank(entry: SubmissionEntry, queue: SubmissionQueue, opts: RankOptions): Ranked {
    const { submission, isExcess } = entry;
    if (submission.steps.some(({ isLongRunning }) => isLongRunning)) {
        if (entry.demotedUntilMs > opts.nowMs) {
            return { entry, queue, group: RankGroup.conformingLate, share: 0, workCoreMs: Number.MAX_VALUE };
        }
        return { entry, queue, group: RankGroup.longRunning, share: 0, workCoreMs: 0 };
    }
    const remaining = estimateRemaining(entry, opts.estimates, opts.nowMs);
    const ageMs = opts.timeOfDayMs - submission.acceptedAtMs;
    const isInTime = ageMs + remaining.criticalPathMs <= targetAgeMs(queue, remaining);
    return {
        entry,
        queue,
        group: findGroup(isExcess, isInTime || entry.isPromoted || ageMs > starvationAgeMs),
        share: isExcess ? opts.shareOf(submission.tenant) : 0,
        workCoreMs: remaining.workCoreMs,
    };
}

function findGroup(isExcess: boolean, isInTime: boolean): RankGroup {
    if (isExcess) {
        return isInTime ? RankGroup.excessInTime : RankGroup.excessLate;
    }
    return isInTime ? RankGroup.conformingInTime : RankGroup.conformingLate;
}

export function hasStartable({ occurrences }: SubmissionEntry, nowMs: number): boolean {
    for (const occurrence of occurrences.values()) {
        for (const tasks of occurrence.steps) {
            const isAnyStartable = countUnstarted(tasks) > 0
                || findIdle(tasks, (task) => isStartable(task, nowMs)) !== undefined;
            if (isAnyStartable && isStepReady(occurrence, tasks)) {
                return true;
            }
        }
    }
    return false;
}

/** A step of a submission whose tasks may start as far as earlier steps are concerned. */
export interface ReadyStep {
    readonly entry: SubmissionEntry;
    readonly queue: SubmissionQueue;
    readonly tasks: StepTasks;
}

/** Steps of a submission whose earlier steps are done and that `isWanted`, in order. */
export function* listReadySteps(
    { entry, queue }: RankedEntry,
    isWanted: (step: Step) => boolean,
): Generator<ReadyStep> {
    for (const occurrence of entry.occurrences.values()) {
        for (const tasks of occurrence.steps) {
            if (isWanted(tasks.step) && isStepReady(occurrence, tasks)) {
                yield { entry, queue, tasks };
            }
        }
    }
}

/** Number of tasks of a step that can start now; of a gang all or none. */
export function countStartable({ tasks }: ReadyStep, nowMs: number): number {
    const count = countIdle(tasks, (task) => isStartable(task, nowMs));
    return tasks.step.isGang && count < tasks.step.count ? 0 : count;
}

/**
 * Lists the tasks of a step that can start now: single tasks, or the gang if all of its tasks can start. Tasks that have been
 * started before come first. Each unit may be placed before the next is asked for.
 */
export function* listUnits({ entry, queue, tasks }: ReadyStep, nowMs: number): Generator<PlacementUnit> {
    const { step, started } = tasks;
    if (step.isGang) {
        if (countIdle(tasks, (task) => isStartable(task, nowMs)) === step.count) {
            yield { entry, queue, tasks: Array.from({ length: step.count }, (_, index) => taskAt(tasks, index)) };
        }
        return;
    }
    for (const task of started.values()) {
        if (isStartable(task, nowMs)) {
            yield { entry, queue, tasks: [task] };
        }
    }
    for (const task of listUnstarted(tasks)) {
        yield { entry, queue, tasks: [task] };
    }
}

function isStartable(task: Task, nowMs: number): boolean {
    return task.phase === "waiting" && task.runs.length === 0 && task.notBeforeMs <= nowMs && hasAttemptLeft(task);
}
