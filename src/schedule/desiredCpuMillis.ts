import type { RemainingEstimate } from "./schedulerState";

/** Minimum span, in milliseconds: for anything shorter, sending the start request takes most of the time. */
const minSpanMs = 100;

/** A late submission still has a little of its value up to this multiple of its target, by the platform's rules. */
const maxLateFactor = 3;

/**
 * Mean number of processors that a submission should have from now on, in thousandths of a core.
 *
 * A submission that can end in time gets what it would use without contention: its remaining work divided by the
 * remaining length of its critical path. Counting all its tasks at once would be wrong, because steps run one after
 * another: with two steps it requests twice as much, and half of the machines that are moved in find nothing to do.
 * Dividing by the time until the target would request fewer machines, but leaves no slack for declared durations that
 * are too short. The work of a submission that is already late is divided by the time in which it still has some value.
 */
export function desiredCpuMillis(
    { workCoreMs, criticalPathMs }: RemainingEstimate,
    targetAgeMs: number,
    ageMs: number,
): number {
    const isInTime = ageMs + criticalPathMs <= targetAgeMs;
    const spanMs = isInTime ? criticalPathMs : Math.max(criticalPathMs, maxLateFactor * targetAgeMs - ageMs);
    return 1000 * workCoreMs / Math.max(minSpanMs, spanMs);
}
