import type { Route } from "../policy";
import type { Submission } from "../submissions";
import type { SubmissionEntry, Task } from "./board";
import { isStepReady } from "./entries";
import type { Estimates } from "./estimates";
import { lookAhead, targetAgeMs } from "./lookAhead";

/** Tasks that are placed all together or not at all. */
export interface Unit {
    readonly entry: SubmissionEntry;
    readonly route: Route;
    /** One task, or all tasks of a gang. */
    readonly tasks: readonly Task[];
}

export interface OrderOptions {
    readonly entries: Iterable<SubmissionEntry>;
    readonly routeOf: (submission: Submission) => Route;
    readonly estimates: Estimates;
    readonly nowMs: number;
    readonly timeOfDayMs: number;
}

/**
 * Age from which a late submission ranks with those in time, in milliseconds. Newer submissions overtake large or late
 * ones again and again; these would starve while a pool stays full.
 */
const starvationAgeMs = 30_000;

/** A submission with tasks that can start, and its queue. */
export interface RankedEntry {
    readonly entry: SubmissionEntry;
    readonly route: Route;
}

interface Ranked extends RankedEntry {
    /** First sort key: 0 for long-running, 1 for in time or starving, 2 for late. */
    readonly group: number;
    readonly workCoreMs: number;
}

/**
 * Ranks the submissions with tasks that can start, best first.
 *
 * In a burst a queue's demand is five times its mean for some seconds. That exceeds its pool's capacity, so some
 * submissions have to wait. A submission earns nearly all of its value if it ends by its target (stretch times its
 * critical path, plus the queue's latency target) and a fraction of it later. Small submissions earn more per
 * core-second. So those that can still meet their target come first, by priority of the queue and then least remaining
 * work first. Late ones follow, unless they have waited so long that they rank with the first.
 */
export function orderWork(opts: OrderOptions): readonly RankedEntry[] {
    const ranked: Ranked[] = [];
    for (const entry of opts.entries) {
        if (entry.ending === undefined && !entry.isCancelled && hasStartable(entry, opts.nowMs)) {
            ranked.push(rank(entry, opts.routeOf(entry.submission), opts));
        }
    }
    return ranked.sort((a, b) =>
        a.group - b.group || a.route.priority - b.route.priority || a.workCoreMs - b.workCoreMs
    );
}

function rank(entry: SubmissionEntry, queue: Route, opts: OrderOptions): Ranked {
    const { submission } = entry;
    if (submission.steps.some(({ isLongRunning }) => isLongRunning)) {
        return { entry, route: queue, group: 0, workCoreMs: 0 };
    }
    const remaining = lookAhead(entry, opts.estimates, opts.nowMs);
    const ageMs = opts.timeOfDayMs - submission.acceptedAtMs;
    const isInTime = ageMs + remaining.chainMs <= targetAgeMs(queue, remaining);
    return {
        entry,
        route: queue,
        group: isInTime || ageMs > starvationAgeMs ? 1 : 2,
        workCoreMs: remaining.workCoreMs,
    };
}

function hasStartable({ occurrences }: SubmissionEntry, nowMs: number): boolean {
    return occurrences.some((occurrence) =>
        occurrence.tasks.some((step, number) =>
            step.some((task) => isStartable(task, nowMs)) && isStepReady(occurrence, number)
        )
    );
}

/** Tasks of a submission that can start now: single tasks, and gangs if all of their tasks can start. */
export function listUnits({ entry, route: queue }: RankedEntry, nowMs: number): readonly Unit[] {
    const units: Unit[] = [];
    for (const occurrence of entry.occurrences) {
        occurrence.tasks.forEach((step, number) => {
            if (!isStepReady(occurrence, number)) {
                return;
            }
            if (step[0]?.step.isGang === true) {
                if (step.every((task) => isStartable(task, nowMs))) {
                    units.push({ entry, route: queue, tasks: step });
                }
                return;
            }
            for (const task of step) {
                if (isStartable(task, nowMs)) {
                    units.push({ entry, route: queue, tasks: [task] });
                }
            }
        });
    }
    return units;
}

function isStartable(task: Task, nowMs: number): boolean {
    return task.phase === "waiting" && task.runs.length === 0 && task.notBeforeMs <= nowMs;
}
