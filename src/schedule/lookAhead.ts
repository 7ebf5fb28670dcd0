import type { Route } from "../policy";
import type { Outlook, SubmissionEntry } from "./board";
import { type Estimates, remainingChainMs, remainingWork, wholeChainMs } from "./estimates";

/**
 * How long a cached estimate is used, in milliseconds. Computing it for each waiting submission in each planning round
 * would take longer than the rest of the round. The ranking changes little within this time.
 */
const cacheMs = 200;

/** Remaining work and critical path of a submission, from an estimate at most `cacheMs` old. */
export function lookAhead(entry: SubmissionEntry, estimates: Estimates, nowMs: number): Outlook {
    if (entry.outlook === undefined || nowMs - entry.outlook.atMs > cacheMs) {
        entry.outlook = {
            workCoreMs: remainingWork(entry, estimates),
            chainMs: remainingChainMs(entry, estimates),
            wholeChainMs: wholeChainMs(entry, estimates),
            atMs: nowMs,
        };
    }
    return entry.outlook;
}

/** Greatest age at which a submission of a queue is still completed in time, in milliseconds. */
export function targetAgeMs(
    { targetLatencyMs, stretch }: Route,
    { chainMs: criticalPathMs, wholeChainMs: fullCriticalPathMs }: Outlook,
): number {
    return targetLatencyMs + stretch * Math.max(criticalPathMs, fullCriticalPathMs);
}
