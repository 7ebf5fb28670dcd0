import type { Route } from "../policy";
import type { Submission } from "../submissions";
import type { SubmissionEntry, Task } from "./board";
import { isStepReady } from "./entries";
import type { Estimates } from "./estimates";
import { lookAhead, targetAgeMs } from "./lookAhead";

/** Tasks that start together or not at all, in the order in which they should be tried. */
export interface Unit {
    readonly entry: SubmissionEntry;
    readonly route: Route;
    /** One task, or all of a gang. */
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
 * A submission that has waited this long goes before all others of its rank, in milliseconds: those that are large or
 * already late are put back again and again by newer ones, and would starve while a pool stays full.
 */
const starvingMs = 30_000;

/** A submission that has something to start, with its queue. */
export interface RankedEntry {
    readonly entry: SubmissionEntry;
    readonly route: Route;
}

interface Ranked extends RankedEntry {
    /** Groups in which submissions go first: long-running, in time or starving, late. */
    readonly group: number;
    readonly workCoreMs: number;
}

/**
 * The order in which waiting work is offered room.
 *
 * A queue asks five times its mean for some seconds, more than its pool holds, so somebody has to wait. A submission
 * earns nearly all of its worth until its target (stretch times its chain, and the queue's latency target) and a
 * fraction later, and small ones earn more for each core-second. So those that can still make their target go first,
 * least remaining work before more; those that cannot follow; and whoever has waited very long goes first.
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

function rank(entry: SubmissionEntry, route: Route, opts: OrderOptions): Ranked {
    const { submission } = entry;
    if (submission.steps.some(({ isLongRunning }) => isLongRunning)) {
        return { entry, route, group: 0, workCoreMs: 0 };
    }
    const outlook = lookAhead(entry, opts.estimates, opts.nowMs);
    const ageMs = opts.timeOfDayMs - submission.acceptedAtMs;
    const isInTime = ageMs + outlook.chainMs <= targetAgeMs(route, outlook);
    return { entry, route, group: isInTime || ageMs > starvingMs ? 1 : 2, workCoreMs: outlook.workCoreMs };
}

function hasStartable({ occurrences }: SubmissionEntry, nowMs: number): boolean {
    return occurrences.some((occurrence) =>
        occurrence.tasks.some((step, number) =>
            step.some((task) => isStartable(task, nowMs)) && isStepReady(occurrence, number)
        )
    );
}

/** What of a submission can start now: single tasks, and gangs whole. */
export function listUnits({ entry, route }: RankedEntry, nowMs: number): readonly Unit[] {
    const units: Unit[] = [];
    for (const occurrence of entry.occurrences) {
        occurrence.tasks.forEach((step, number) => {
            if (!isStepReady(occurrence, number)) {
                return;
            }
            if (step[0]?.step.isGang === true) {
                if (step.every((task) => isStartable(task, nowMs))) {
                    units.push({ entry, route, tasks: step });
                }
                return;
            }
            for (const task of step) {
                if (isStartable(task, nowMs)) {
                    units.push({ entry, route, tasks: [task] });
                }
            }
        });
    }
    return units;
}

function isStartable(task: Task, nowMs: number): boolean {
    return task.phase === "waiting" && task.runs.length === 0 && task.notBeforeMs <= nowMs;
}
