import type { QueueTerms } from "../policy";
import { type DurationEstimates, fullCriticalPathMs, remainingCriticalPathMs, remainingWorkCoreMs } from "./estimates";
import type { RemainingEstimate, SubmissionEntry } from "./schedulerState";

/**
 * How long a cached estimate is used, in milliseconds. Computing it for each waiting submission in each planning round
 * would take longer than the rest of the round. The ranking changes little within this time.
 */
const cacheMs = 200;

/** Remaining work and critical path of a submission, from an estimate at most `cacheMs` old. */
export function estimateRemaining(
    entry: SubmissionEntry,
    estimates: DurationEstimates,
    nowMs: number,
): RemainingEstimate {
    if (entry.remainingEstimate === undefined || nowMs - entry.remainingEstimate.computedAtMs > cacheMs) {
        entry.remainingEstimate = {
            workCoreMs: remainingWorkCoreMs(entry, estimates),
            criticalPathMs: remainingCriticalPathMs(entry, estimates),
            fullCriticalPathMs: fullCriticalPathMs(entry, estimates),
            computedAtMs: nowMs,
        };
    }
    return entry.remainingEstimate;
}

/**
 * Greatest age at which a submission of a queue is still completed in time, in milliseconds.
 *
 * The target is a multiple (`stretch`) of the full critical path, because the remaining one shrinks as steps are done.
 */
export function targetAgeMs(
    { targetLatencyMs, stretch }: Pick<QueueTerms, "targetLatencyMs" | "stretch">,
    { criticalPathMs, fullCriticalPathMs }: RemainingEstimate,
): number {
    return targetLatencyMs + stretch * Math.max(criticalPathMs, fullCriticalPathMs);
}
