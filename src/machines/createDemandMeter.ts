import { type Arrival, estimateArrivals } from "./estimateArrivals";

/** Work of a submission that has come. */
export interface ArrivedWork {
    /** Processors that it keeps busy while it stays, in thousandths. */
    readonly cpuMillis: number;
    /** How long it stays if nothing holds it up, in milliseconds. */
    readonly stayMs: number;
}

/** Follows how much work arrives for each pool. */
export interface DemandMeter {
    /** Work has arrived, some time ago. */
    note(pool: string, work: ArrivedWork, nowMs: number, ageMs?: number): void;
    /** Processors that what arrives from now on will keep busy when a machine that is sent now has joined, in thousandths. */
    arrivingCpuMillis(pool: string, nowMs: number): number;
    /** Processors that one submission of the pool keeps busy, on the mean of the latest, in thousandths. */
    typicalCpuMillis(pool: string): number;
}

/** Weight of the newest submission in what is typical of a pool: about the last ten count. */
const typicalWeight = 0.1;

/**
 * Measures arrivals over as long as a machine needs to join: what comes meanwhile is what the machine will find, beside
 * what is left over by then.
 *
 * @param joinMs time from a decision until the machine takes work, in milliseconds
 */
export function createDemandMeter(joinMs: number): DemandMeter {
    const arrivals = new Map<string, readonly Arrival[]>();
    const typical = new Map<string, number>();

    return {
        note(pool, { cpuMillis, stayMs }, nowMs, ageMs = 0) {
            // A new owner reads all open work at once. Taken for arriving now, a pool whose turn is over would look as if
            // its turn had just begun.
            const arrival = { atMs: nowMs - ageMs, cpuMillis: cpuMillis * Math.min(1, stayMs / joinMs) };
            const recent = (arrivals.get(pool) ?? []).filter(({ atMs }) => atMs > nowMs - joinMs);
            arrivals.set(pool, [...recent, arrival]);
            const mean = typical.get(pool) ?? cpuMillis;
            typical.set(pool, mean + typicalWeight * (cpuMillis - mean));
        },
        arrivingCpuMillis: (pool, nowMs) => estimateArrivals(arrivals.get(pool) ?? [], joinMs, nowMs),
        typicalCpuMillis: (pool) => typical.get(pool) ?? 0,
    };
}
