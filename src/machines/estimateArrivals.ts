/** Work that came at one time. */
export interface Arrival {
    readonly atMs: number;
    /** Processors that it keeps busy while it stays, in thousandths. */
    readonly cpuMillis: number;
}

/** Parts of the longest window over which arrivals are counted as well, the longest first. */
const shorterParts = [1 / 2, 1 / 4, 1 / 8];

/**
 * How often the rise from one half of a window to the next is added. A line through both halves, carried on over another
 * window, lies four times their difference above what was counted.
 */
const risenHalves = 4;

/**
 * A shorter window is believed where its count differs from what the longer one gives by more than this many standard
 * deviations of a random count: one in twenty by chance.
 */
const significantDeviations = 2;

/** Least count that is expected of a window: a single arrival after a long calm is no rise yet, and two at once are. */
const leastExpected = 0.25;

/**
 * Processors that the work arriving in the next `windowMs` keeps busy, in thousandths.
 *
 * A queue's turn begins with a jump or rises for seconds, to five times its mean and more, and falls as fast. One long window
 * notices it when its machines should already be there; one short window takes each cluster of arrivals for a jump, and
 * machines go to and fro. So arrivals are counted over windows of different lengths, and a shorter one counts only where
 * chance doesn't explain the difference, upwards as well as downwards; what is significant of its rise is carried on, since
 * machines that are sent for what has come so far arrive when as much again has come.
 */
export function estimateArrivals(arrivals: readonly Arrival[], windowMs: number, nowMs: number): number {
    let spanMs = windowMs;
    let counted = since(arrivals, nowMs - windowMs);
    for (const part of shorterParts) {
        const recent = since(counted, nowMs - windowMs * part);
        const expected = counted.length * windowMs * part / spanMs;
        const deviation = Math.abs(recent.length - expected) / Math.sqrt(Math.max(leastExpected, expected));
        if (deviation > significantDeviations) {
            spanMs = windowMs * part;
            counted = recent;
        }
    }
    if (counted.length === 0) {
        return 0;
    }
    const newer = since(counted, nowMs - spanMs / 2).length;
    const rise = shrink(2 * newer - counted.length, counted.length);
    const count = Math.max(0, counted.length + risenHalves * rise) * windowMs / spanMs;
    return count * counted.reduce((sum, { cpuMillis }) => sum + cpuMillis, 0) / counted.length;
}

function since(arrivals: readonly Arrival[], fromMs: number): readonly Arrival[] {
    return arrivals.filter(({ atMs }) => atMs > fromMs);
}

/** The part of a difference of two random counts that chance does not explain (James-Stein). */
function shrink(difference: number, variance: number): number {
    return difference === 0 ? 0 : difference * Math.max(0, 1 - variance / difference ** 2);
}
