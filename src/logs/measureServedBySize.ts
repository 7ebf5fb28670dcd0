import type { LogLine } from "./readLogLines";

/** A submission that has ended or is open at the end of the logs. */
export interface SizedSubmission {
    readonly queue: string;
    /** Declared work, in core-milliseconds. */
    readonly workCoreMs: number;
    /** Complete within a useful time: at most three times its target. */
    readonly isServed: boolean;
    readonly isInTime: boolean;
    /** From its acceptance to its first start, in milliseconds; `undefined`: not known. */
    readonly firstStartMs?: number | undefined;
    /** From its first start to its last one, in milliseconds. */
    readonly startSpanMs?: number | undefined;
    readonly restarts?: number | undefined;
}

/** What the submissions of one queue and size were served. */
export interface ServedSize {
    readonly queue: string;
    readonly size: string;
    readonly count: number;
    /** Share that was served, 0 to 1. */
    readonly servedShare: number;
    /** Share that was complete by its target, 0 to 1. */
    readonly inTimeShare: number;
    /** Medians, in milliseconds; `undefined`: no submission has the value. */
    readonly firstStartMs: number | undefined;
    readonly startSpanMs: number | undefined;
    /** Mean number of restarted tasks. */
    readonly restarts: number;
}

/** Parts of a queue's submissions in ascending order of their work: from and to, as shares. */
const sizes = [
    ["all", 0, 1],
    ["smaller", 0, 0.7],
    ["next largest fifth", 0.7, 0.9],
    ["largest tenth", 0.9, 1],
] as const;

/** Measures what was served by size, for each queue. */
export function measureServedBySize(submissions: readonly SizedSubmission[]): readonly ServedSize[] {
    const queues = new Map<string, SizedSubmission[]>();
    for (const submission of submissions) {
        const { queue } = submission;
        const known = queues.get(queue);
        if (known === undefined) {
            queues.set(queue, [submission]);
        }
        else {
            known.push(submission);
        }
    }
    return [...queues].flatMap(([queue, all]) => {
        const ascending = all.sort((a, b) => a.workCoreMs - b.workCoreMs);
        return sizes.map(([size, from, to]) => {
            const [first, end] = [from, to].map((share) => Math.round(share * ascending.length));
            return summarize(queue, size, ascending.slice(first, end));
        });
    });
}

function summarize(queue: string, size: string, submissions: readonly SizedSubmission[]): ServedSize {
    const count = submissions.length;
    const shareOf = (isCounted: (submission: SizedSubmission) => boolean) =>
        submissions.filter(isCounted).length / Math.max(1, count);
    return {
        queue,
        size,
        count,
        servedShare: shareOf(({ isServed }) => isServed),
        inTimeShare: shareOf(({ isInTime }) => isInTime),
        firstStartMs: findMedian(submissions.map(({ firstStartMs }) => firstStartMs)),
        startSpanMs: findMedian(submissions.map(({ startSpanMs }) => startSpanMs)),
        restarts: submissions.reduce((sum, { restarts = 0 }) => sum + restarts, 0) / Math.max(1, count),
    };
}

function findMedian(values: readonly (number | undefined)[]): number | undefined {
    const known = values.filter((value) => value !== undefined).sort((a, b) => a - b);
    return known[Math.floor(known.length / 2)];
}

/**
 * Lists the submissions that a leader has taken or ended. Cancelled ones, and those without a size (long-running or
 * repeated ones), are left out. One without a line on its end was not served.
 */
export function listSizedSubmissions(lines: readonly LogLine[]): readonly SizedSubmission[] {
    const submissions = new Map<string, SizedSubmission>();
    for (const line of lines) {
        const { workCoreMs, change, timeliness, route } = line;
        const id = String(line["submission"]);
        if (line.message !== "submission" || typeof workCoreMs !== "number") {
            continue;
        }
        if (change === "cancelled") {
            submissions.delete(id);
        }
        else if (change === "taken" ? !submissions.has(id) : change === "complete" || change === "failed") {
            submissions.set(id, {
                queue: String(route),
                workCoreMs,
                // A submission that can't be done is served by the answer that it has failed.
                isServed: change === "failed" || (change === "complete" && timeliness !== "tooLate"),
                isInTime: timeliness === "inTime",
                firstStartMs: toNumber(line["firstStartMs"]),
                startSpanMs: toNumber(line["startSpanMs"]),
                restarts: toNumber(line["restarts"]),
            });
        }
    }
    return [...submissions.values()];
}

function toNumber(value: unknown): number | undefined {
    return typeof value === "number" ? value : undefined;
}
