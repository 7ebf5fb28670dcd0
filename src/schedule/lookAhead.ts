import type { Route } from "../policy";
import type { Outlook, SubmissionEntry } from "./board";
import { type Estimates, remainingChainMs, remainingWork, wholeChainMs } from "./estimates";

/**
 * How long a submission's outlook is used, in milliseconds. Worked out for each waiting submission in each round it would
 * take more time than all the rest of planning; the order changes little in this time.
 */
const outlookReuseMs = 200;

/** What a submission still has before it, as of the last `outlookReuseMs`. */
export function lookAhead(entry: SubmissionEntry, estimates: Estimates, nowMs: number): Outlook {
    if (entry.outlook === undefined || nowMs - entry.outlook.atMs > outlookReuseMs) {
        entry.outlook = {
            workCoreMs: remainingWork(entry, estimates),
            chainMs: remainingChainMs(entry, estimates),
            wholeChainMs: wholeChainMs(entry, estimates),
            atMs: nowMs,
        };
    }
    return entry.outlook;
}

/** The age by which a submission of a queue has to be complete to be in time, in milliseconds. */
export function targetAgeMs({ targetLatencyMs, stretch }: Route, { chainMs, wholeChainMs }: Outlook): number {
    return targetLatencyMs + stretch * Math.max(chainMs, wholeChainMs);
}
