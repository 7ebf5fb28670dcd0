/** A serving task beside fillers: its latency against what its users should see. */
export interface ServingReading {
    readonly latencyMs: number;
    readonly targetMs: number;
}

/** Above this part of the target fillers step back by half: the figure is an average and lags half a second. */
const tightShare = 0.85;

/** Below this part of the target fillers may work more. */
const easyShare = 0.65;

/** Steps up, in percent of a filler's full pace; from a standstill back to full takes ten readings. */
const stepUpPercent = 10;

/** A filler slower than this hardly earns and still disturbs; it stands still. */
const leastPercent = 10;

/**
 * The pace of the fillers on one worker.
 *
 * Fillers take the processor time that others leave and slow the serving tasks beside them. A serving task above its
 * target costs four times what a filler at work earns, so fillers stop at once when a target is missed, step back when
 * it is near and come back slowly.
 */
export function choosePace(currentPercent: number, serving: readonly ServingReading[]): number {
    const worst = Math.max(0, ...serving.map(({ latencyMs, targetMs }) => latencyMs / targetMs));
    if (worst > 1) {
        return 0;
    }
    if (worst > tightShare) {
        const next = Math.floor(currentPercent / 2);
        return next < leastPercent ? 0 : next;
    }
    return worst < easyShare ? Math.min(100, currentPercent + stepUpPercent) : currentPercent;
}
