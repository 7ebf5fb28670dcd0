import type { LogEvent } from "../logging";
import type { Policy } from "../policy";
import {
    type DurationEstimates,
    estimateRemaining,
    findTimeliness,
    queueOf,
    type SubmissionEntry,
    type Timeliness,
} from "../schedule";
import { sizeCoreMs } from "../submissions";

type SubmissionEvent = Extract<LogEvent, { kind: "submission"; }>;

export interface EndContext {
    /** Current configuration; `undefined` until one has been read. */
    readonly policy: Policy | undefined;
    readonly estimates: DurationEstimates;
    /** Time on the monotonic clock, in milliseconds. */
    readonly nowMs: number;
    /** Time since the submission was accepted, in milliseconds. */
    readonly ageMs: number;
}

/** Timeliness of a submission that is complete now; `undefined` while its target is not known. */
export function findEndTimeliness(
    entry: SubmissionEntry,
    { policy, estimates, nowMs, ageMs }: EndContext,
): Timeliness | undefined {
    return policy === undefined
        ? undefined
        : findTimeliness(ageMs, queueOf(policy, entry.submission), estimateRemaining(entry, estimates, nowMs));
}

/** Fields of the log line on a submission's end that tell why it took as long as it did. */
export function describeEnd(
    entry: SubmissionEntry,
    context: EndContext,
): Pick<
    SubmissionEvent,
    "workCoreMs" | "timeliness" | "size" | "isPromoted" | "firstStartMs" | "startSpanMs" | "restarts"
> {
    const { submission, starts: { firstAtMs, lastAtMs, restarts }, sizeClass: size, isPromoted, finalState } = entry;
    const { nowMs, ageMs } = context;
    const workCoreMs = sizeCoreMs(submission);
    const isJudged = finalState === "complete" && workCoreMs !== undefined;
    return {
        workCoreMs,
        size,
        isPromoted,
        restarts,
        timeliness: isJudged ? findEndTimeliness(entry, context) : undefined,
        ...firstAtMs === undefined || lastAtMs === undefined
            ? {}
            : { firstStartMs: Math.round(ageMs - (nowMs - firstAtMs)), startSpanMs: Math.round(lastAtMs - firstAtMs) },
    };
}
