/** Work that arrived at one time. */
export interface Arrival {
    readonly atMs: number;
    /** Processors that it keeps busy while it runs, in thousandths. */
    readonly cpuMillis: number;
}

/** Shorter windows over which arrivals are counted as well, as parts of the longest one; longest first. */
const shorterWindowParts = [1 / 2, 1 / 4, 1 / 8];

/**
 * Factor of the rise from the first half of a window to the second in the extrapolation. The line through both halves,
 * extended over the next window, gives the count of this window plus four times the difference of its halves.
 */
const extrapolationFactor = 4;

/**
 * A shorter window replaces the longer one if its count differs from the count expected by the longer one by more than this
 * many standard deviations of a random count. By chance that happens once in twenty times.
 */
const significantDeviations = 2;

/**
 * Lower bound of the count expected in a window. With it, a single arrival after a long time without any doesn't count as a
 * rise, and two at once do.
 */
const minExpectedCount = 0.25;

/**
 * Estimates the processors that the work arriving in the next `windowMs` keeps busy, in thousandths.
 *
 * A queue's busy period begins with a jump or with a rise over seconds, to five times its mean rate and more, and falls as
 * fast. A single long window detects it only when its machines should already be there. A single short window takes each
 * random cluster of arrivals for a jump, and machines move back and forth. So arrivals are counted over windows of different
 * lengths, and a shorter window counts only if its difference, up or down, is statistically significant. The significant
 * part of a rise is extrapolated: machines that are sent for the arrivals so far join when as much again has arrived.
 */
export function estimateArrivals(arrivals: readonly Arrival[], windowMs: number, nowMs: number): number {
    let spanMs = windowMs;
    let counted = filterSince(arrivals, nowMs - windowMs);
    for (const part of shorterWindowParts) {
        const recent = filterSince(counted, nowMs - windowMs * part);
        const expected = counted.length * windowMs * part / spanMs;
        const deviation = Math.abs(recent.length - expected) / Math.sqrt(Math.max(minExpectedCount, expected));
        if (deviation > significantDeviations) {
            spanMs = windowMs * part;
            counted = recent;
        }
    }
    if (counted.length === 0) {
        return 0;
    }
    const secondHalfCount = filterSince(counted, nowMs - spanMs / 2).length;
    const rise = shrinkDifference(2 * secondHalfCount - counted.length, counted.length);
    const count = Math.max(0, counted.length + extrapolationFactor * rise) * windowMs / spanMs;
    return count * counted.reduce((sum, { cpuMillis }) => sum + cpuMillis, 0) / counted.length;
}

function filterSince(arrivals: readonly Arrival[], fromMs: number): readonly Arrival[] {
    return arrivals.filter(({ atMs }) => atMs > fromMs);
}

/**
 * The part of the difference of two random counts that chance does not explain (James-Stein shrinkage). The variance of the
 * difference is the sum of the two counts.
 */
function shrinkDifference(difference: number, variance: number): number {
    return difference === 0 ? 0 : difference * Math.max(0, 1 - variance / difference ** 2);
}
