/** Open work, expected arrivals and capacity of a pool. */
export interface NeedInput {
    /** Processors that open submissions should get now, in thousandths. */
    readonly openCpuMillis: number;
    /** Remaining work of open submissions, in core-milliseconds. */
    readonly openCoreMs: number;
    /** Processors that the work arriving within `joinMs` will keep busy, in thousandths. */
    readonly arrivingCpuMillis: number;
    /** Processors of the pool that are available to work that ends by itself, in thousandths. */
    readonly capacityCpuMillis: number;
    /** Processors of machines on their way to the pool, in thousandths. */
    readonly comingCpuMillis: number;
    /** Time from the decision to send a machine until it takes work, in milliseconds. */
    readonly joinMs: number;
}

/** Machines on their way join at any time within `joinMs`: on average they work for half of it. */
const comingWorkShare = 0.5;

/**
 * Forecasts the processors that a pool needs, in thousandths: the larger of its need now and its need at the time when a
 * machine that is sent now has joined.
 *
 * A backlog builds up while a pool waits for its machines. At that time it needs capacity for the backlog and for the
 * arriving work.
 */
export function forecastNeedCpuMillis(input: NeedInput): number {
    const { openCpuMillis, openCoreMs, arrivingCpuMillis } = input;
    const meanCapacityCpuMillis = input.capacityCpuMillis + comingWorkShare * input.comingCpuMillis;
    const doneCoreMs = meanCapacityCpuMillis / 1000 * input.joinMs;
    const backlogShare = openCoreMs > 0 ? Math.max(0, 1 - doneCoreMs / openCoreMs) : 0;
    return Math.max(openCpuMillis, backlogShare * openCpuMillis + arrivingCpuMillis);
}
