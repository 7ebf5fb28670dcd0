/** Follows how much work arrives for each pool. */
export interface DemandMeter {
    /** Work has arrived, some time ago: processors times time, in core-milliseconds. */
    note(pool: string, coreMs: number, nowMs: number, ageMs?: number): void;
    /** Processors that the work arriving now keeps busy, in thousandths. */
    offeredCpuMillis(pool: string, nowMs: number): number;
}

/** Follows the beginning of a queue's turn: half a second of arrivals shows it. */
const fastMs = 500;

/** Follows its end: machines stay until arrivals have been low for about this long. */
const slowMs = 2000;

/**
 * How much of the present rise is added, so that the figure holds for when a machine that is sent now has joined. The two
 * rates lie a second and a half apart on a ramp, and a machine needs as long.
 */
const riseShare = 0.4;

interface Rates {
    fast: number;
    slow: number;
    atMs: number;
}

/**
 * Measures arrivals as two decaying rates and goes by the higher one, so that a rise is believed at once and a fall only
 * when it lasts. Demand of a queue jumps to five times its mean within a second; the tasks that wait at that moment are
 * a small part of those that come while a machine joins, so going by what waits alone is always a second and a half late.
 */
export function createDemandMeter(): DemandMeter {
    const rates = new Map<string, Rates>();

    function decay(pool: string, nowMs: number): Rates {
        const known = rates.get(pool) ?? { fast: 0, slow: 0, atMs: nowMs };
        const spanMs = Math.max(0, nowMs - known.atMs);
        const next = {
            fast: known.fast * Math.exp(-spanMs / fastMs),
            slow: known.slow * Math.exp(-spanMs / slowMs),
            atMs: nowMs,
        };
        rates.set(pool, next);
        return next;
    }

    return {
        note(pool, coreMs, nowMs, ageMs = 0) {
            const rate = decay(pool, nowMs);
            // A new owner reads all open work at once. Counted as arriving now, a pool whose turn is over would look as
            // if its turn had just begun, and its idle machines would stay there while others wait for them.
            // All of a submission counts at once, though its steps follow each other: measured against counting it over
            // its chain, days of high load gain 0.06 to 0.19 of worth for a fifth more moves.
            rate.fast += coreMs / fastMs * Math.exp(-ageMs / fastMs);
            rate.slow += coreMs / slowMs * Math.exp(-ageMs / slowMs);
        },
        offeredCpuMillis(pool, nowMs) {
            const { fast, slow } = decay(pool, nowMs);
            return 1000 * Math.max(slow, fast + riseShare * Math.max(0, fast - slow));
        },
    };
}
