/** Latency of a serving task that shares a worker with fillers, and its target. */
export interface ServingReading {
    readonly latencyMs: number;
    readonly targetMs: number;
}

/** Above this share of the target, fillers halve their pace: the latency is an average that lags by half a second. */
const decreaseAboveShare = 0.85;

/** Below this share of the target, fillers increase their pace. */
const increaseBelowShare = 0.65;

/** Increase per reading, in percent of the full pace: from 0 to the full pace takes ten readings. */
const increasePercent = 10;

/** A slower filler gains almost nothing and still slows its neighbors, so it is stopped. */
const minPercent = 10;

/**
 * Returns the next pace of the fillers on one worker, in percent of their full pace.
 *
 * Fillers use the processor time that other tasks leave, and slow the serving tasks on the same worker. A serving task
 * above its target costs four times what a running filler earns. Fillers therefore stop at once when a target is
 * missed, halve their pace when a latency is close to its target, and increase their pace in small steps.
 */
export function choosePace(currentPercent: number, serving: readonly ServingReading[]): number {
    const maxShare = Math.max(0, ...serving.map(({ latencyMs, targetMs }) => latencyMs / targetMs));
    if (maxShare > 1) {
        return 0;
    }
    if (maxShare > decreaseAboveShare) {
        const next = Math.floor(currentPercent / 2);
        return next < minPercent ? 0 : next;
    }
    return maxShare < increaseBelowShare ? Math.min(100, currentPercent + increasePercent) : currentPercent;
}
