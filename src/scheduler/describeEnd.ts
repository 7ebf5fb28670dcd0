import type { LogEvent } from "../logging";
import type { Policy } from "../policy";
import { type DurationEstimates, estimateRemaining, findTimeliness, queueOf, type SubmissionEntry } from "../schedule";
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

/** Fields of the log line on a submission's end that tell why it took as long as it did. */
export function describeEnd(
    entry: SubmissionEntry,
    { policy, estimates, nowMs, ageMs }: EndContext,
): Pick<
    SubmissionEvent,
    "workCoreMs" | "timeliness" | "size" | "isPromoted" | "firstStartMs" | "startSpanMs" | "restarts"
> {
    const { submission, starts: { firstAtMs, lastAtMs, restarts }, sizeClass: size, isPromoted, finalState } = entry;
    const workCoreMs = sizeCoreMs(submission);
    const started = firstAtMs === undefined || lastAtMs === undefined
        ? {}
        : { firstStartMs: Math.round(ageMs - (nowMs - firstAtMs)), startSpanMs: Math.round(lastAtMs - firstAtMs) };
    const fields = { workCoreMs, size, isPromoted, restarts };
    if (finalState !== "complete" || workCoreMs === undefined || policy === undefined) {
        return { ...fields, ...started };
    }
    const estimate = estimateRemaining(entry, estimates, nowMs);
    return { ...fields, ...started, timeliness: findTimeliness(ageMs, queueOf(policy, submission), estimate) };
}
