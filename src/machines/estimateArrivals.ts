/** Work that came at one time. */
export interface Arrival {
    readonly atMs: number;
    /** Processors that it keeps busy while it stays, in thousandths. */
    readonly cpuMillis: number;
}

/** Parts of the longest window over which arrivals are counted, the longest first. */
const windowParts = [1, 1 / 2, 1 / 4, 1 / 8];

/**
 * A shorter window is believed where its count differs from what the longer one gives by more than this many standard
 * deviations of a random count: one in twenty by chance.
 */
const significantDeviations = 2;

/** Least count that is expected of a window: a single arrival after a long calm is no rise yet, and two at once are. */
const leastExpected = 0.25;

/**
 * Processors that the work arriving in `windowMs` keeps busy, in thousandths, at the present rate.
 *
 * A queue jumps from a twentieth of its mean to five times its mean within a moment, stays there for seconds and falls as
 * fast. One long window notices it when its machines should already be there; one short window takes each cluster of
 * arrivals for a jump, and machines go to and fro. So arrivals are counted over windows of different lengths, and a shorter
 * one counts only where chance doesn't explain the difference, upwards as well as downwards. With the longest window alone,
 * ten days earned 0.04 less of worth; with the higher bound of each window they paid 0.04 more for machines and moves.
 */
export function estimateArrivals(arrivals: readonly Arrival[], windowMs: number, nowMs: number): number {
    let perMs = 0;
    let cpuMillisPerMs = 0;
    for (const [index, part] of windowParts.entries()) {
        const spanMs = windowMs * part;
        const recent = arrivals.filter(({ atMs }) => atMs > nowMs - spanMs);
        const expected = Math.max(leastExpected, perMs * spanMs);
        const deviation = Math.abs(recent.length - perMs * spanMs) / Math.sqrt(expected);
        if (index === 0 || deviation > significantDeviations) {
            perMs = recent.length / spanMs;
            cpuMillisPerMs = recent.reduce((sum, { cpuMillis }) => sum + cpuMillis, 0) / spanMs;
        }
    }
    return cpuMillisPerMs * windowMs;
}
