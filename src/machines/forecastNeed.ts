export interface NeedInput {
    /** Processors that open submissions should have now, in thousandths. */
    readonly openCpuMillis: number;
    /** Work that open submissions have before them, in core-milliseconds. */
    readonly openCoreMs: number;
    /** Processors that what arrives until then will keep busy, in thousandths. */
    readonly arrivingCpuMillis: number;
    /** Processors that the pool has for work that ends by itself, in thousandths. */
    readonly roomCpuMillis: number;
    /** Processors of machines on their way to it, in thousandths. */
    readonly comingCpuMillis: number;
    /** Time from a decision until the machine takes work, in milliseconds. */
    readonly joinMs: number;
}

/** Machines on their way join at any time until `joinMs`: on the mean they work for half of it. */
const comingShare = 0.5;

/**
 * Processors that a pool needs, now or when a machine that is sent now has joined, whichever is more, in thousandths.
 *
 * While a pool waits for its machines, work piles up: at that time it needs room for what arrives and for what is left
 * over.
 */
export function forecastNeedCpuMillis(input: NeedInput): number {
    const { openCpuMillis, openCoreMs, arrivingCpuMillis } = input;
    const workingCpuMillis = input.roomCpuMillis + comingShare * input.comingCpuMillis;
    const doneCoreMs = workingCpuMillis / 1000 * input.joinMs;
    const leftShare = openCoreMs > 0 ? Math.max(0, 1 - doneCoreMs / openCoreMs) : 0;
    return Math.max(openCpuMillis, leftShare * openCpuMillis + arrivingCpuMillis);
}
