import type { Outlook } from "./board";

/** Shortest chain that is reckoned with, in milliseconds: below it the way of an order takes most of the time. */
const leastChainMs = 100;

/** A submission that comes late earns a little until this many times its target, by the platform's rules. */
const lateTargets = 3;

/**
 * Processors that a submission should have on the mean from now on, in thousandths.
 *
 * One that can be in time gets what it would use unhindered: its work over its chain. Steps follow each other, so counting
 * all its tasks at once asks for twice as much with two steps, and half of the machines that were sent found nothing to do.
 * Spread over the time until its target, work asks for fewer machines, and nothing is left for declared times that are off.
 * One that is late already is spread over the time in which
 * it still earns something.
 */
export function paceOfWorkCpuMillis({ workCoreMs, chainMs }: Outlook, targetAgeMs: number, ageMs: number): number {
    const isInTime = ageMs + chainMs <= targetAgeMs;
    const spanMs = isInTime ? chainMs : Math.max(chainMs, lateTargets * targetAgeMs - ageMs);
    return 1000 * workCoreMs / Math.max(leastChainMs, spanMs);
}
