import { type Arrival, estimateArrivals } from "./estimateArrivals";

/** Work of a submission that has arrived. */
export interface ArrivedWork {
    /** Processors that it keeps busy while it runs, in thousandths. */
    readonly cpuMillis: number;
    /** How long it runs if it never has to wait for capacity, in milliseconds. */
    readonly minDurationMs: number;
}

/** Measures how much work arrives for each pool. */
export interface DemandMeter {
    /** Records work that arrived `ageMs` ago. */
    recordArrival(pool: string, work: ArrivedWork, nowMs: number, ageMs?: number): void;
    /**
     * Forecasts the processors that work arriving from now on keeps busy at the time when a machine that is sent now has
     * joined, in thousandths.
     */
    forecastArrivingCpuMillis(pool: string, nowMs: number): number;
    /** Processors that one submission of the pool keeps busy, in thousandths: the moving average of the latest. */
    meanSubmissionCpuMillis(pool: string): number;
}

/** Weight of the newest submission in the moving average of a pool: about the last ten submissions count. */
const newestWeight = 0.1;

/**
 * Measures arrivals over the time that a machine needs to join. The work that arrives in that time is what the machine
 * will find, in addition to the backlog.
 *
 * @param joinMs time from the decision to send a machine until it takes work, in milliseconds
 */
export function createDemandMeter(joinMs: number): DemandMeter {
    const arrivals = new Map<string, readonly Arrival[]>();
    const meanCpuMillis = new Map<string, number>();

    return {
        recordArrival(pool, { cpuMillis, minDurationMs }, nowMs, ageMs = 0) {
            // A new leader reads all open work at once. If that counted as arriving now, a pool whose busy period is over
            // would look as if its busy period had just begun.
            // Work that runs for less than `joinMs` keeps its processors busy for only that part of the window.
            const arrival = { atMs: nowMs - ageMs, cpuMillis: cpuMillis * Math.min(1, minDurationMs / joinMs) };
            const recent = (arrivals.get(pool) ?? []).filter(({ atMs }) => atMs > nowMs - joinMs);
            arrivals.set(pool, [...recent, arrival]);
            const previousMean = meanCpuMillis.get(pool) ?? cpuMillis;
            meanCpuMillis.set(pool, previousMean + newestWeight * (cpuMillis - previousMean));
        },
        forecastArrivingCpuMillis: (pool, nowMs) => estimateArrivals(arrivals.get(pool) ?? [], joinMs, nowMs),
        meanSubmissionCpuMillis: (pool) => meanCpuMillis.get(pool) ?? 0,
    };
}
