import type { Reporter } from "../logging";
import type { LoadSummary } from "./loadSummary";
import { type AccountLoad, excessWaitMs, type PoolBacklog, summarizeLoad } from "./summarizeLoad";

/** Backlogs of the pools with waiting work, as the leader knows them. */
export interface LoadMeasurement {
    /** Fencing token of the leader. */
    readonly token: number;
    readonly pools: readonly PoolBacklog[];
    /** Time since the capacities of the pools were measured, in milliseconds. */
    readonly ageMs: number;
}

export interface LoadBroadcasterOptions {
    /** Measures the load; `undefined` while this entry isn't the leader or doesn't know the load. */
    measure(): LoadMeasurement | undefined;
    /** Accounts with a rate, and their tokens now. Read only while a pool has waiting work. */
    accounts(): readonly AccountLoad[];
    broadcast(summary: LoadSummary): void;
    readonly report: Reporter;
    /** Reads the monotonic clock, in milliseconds. */
    readonly nowMs: () => number;
}

export interface LoadBroadcaster {
    start(): void;
    stop(): void;
}

/** Interval of summaries while pools have waiting work, in milliseconds. */
const intervalMs = 100;

/** Interval of empty summaries, in milliseconds. It is half of the time for which entries use a summary. */
const emptyIntervalMs = 500;

/**
 * Least time between two measurements, as a multiple of the time that the first one took. With thousands of open
 * submissions a measurement takes 10 to 20 ms; this limits it to a twentieth of the leader's time.
 */
const pauseFactor = 20;

/** Most time between two measurements, in milliseconds: entries need a summary before the last one is too old. */
const maxPauseMs = 400;

/** Interval of log events for each pool in which excess submissions wait, in milliseconds. */
const reportIntervalMs = 1000;

const nothingWaits = {
    workCoreMs: 0,
    waitingCpuMillis: 0,
    capacityCpuMillis: 0,
    freeCpuMillis: 0,
    hasCapacityLeft: true,
};

/** Broadcasts load summaries to the entries while this entry is the leader. */
export function createLoadBroadcaster(opts: LoadBroadcasterOptions): LoadBroadcaster {
    let sentAtMs = Number.NEGATIVE_INFINITY;
    let wasEmpty = true;
    let nextMeasurementAtMs = Number.NEGATIVE_INFINITY;
    /** When the wait of a pool was last logged. Holds the pools whose last logged wait is above 0. */
    const reportedAtMs = new Map<string, number>();
    let timer: NodeJS.Timeout | undefined;

    function reportPool(backlog: PoolBacklog, ageMs: number): void {
        opts.report({
            kind: "load",
            pool: backlog.pool,
            excessWaitMs: excessWaitMs(backlog),
            workCoreSeconds: Math.round(backlog.workCoreMs / 1000),
            waitingCores: Math.round(backlog.waitingCpuMillis / 1000),
            cores: Math.round(backlog.capacityCpuMillis / 1000),
            freeCores: Math.round(backlog.freeCpuMillis / 1000),
            ageMs: Math.round(ageMs),
        });
    }

    function reportPools(summary: LoadSummary, { pools, ageMs }: LoadMeasurement, nowMs: number): void {
        const waiting = new Set(summary.pools.map(({ pool }) => pool));
        for (const backlog of pools) {
            const isDue = nowMs - (reportedAtMs.get(backlog.pool) ?? Number.NEGATIVE_INFINITY) >= reportIntervalMs;
            if (waiting.has(backlog.pool) && isDue) {
                reportedAtMs.set(backlog.pool, nowMs);
                reportPool(backlog, ageMs);
            }
        }
        for (const pool of [...reportedAtMs.keys()].filter((name) => !waiting.has(name))) {
            reportedAtMs.delete(pool);
            reportPool(pools.find((backlog) => backlog.pool === pool) ?? { pool, ...nothingWaits }, ageMs);
        }
    }

    function measure(): LoadMeasurement | undefined {
        const startedAtMs = opts.nowMs();
        const measurement = opts.measure();
        const tookMs = opts.nowMs() - startedAtMs;
        nextMeasurementAtMs = startedAtMs + Math.min(maxPauseMs, tookMs * pauseFactor);
        return measurement;
    }

    function tick(): void {
        if (opts.nowMs() < nextMeasurementAtMs) {
            return;
        }
        const measurement = measure();
        if (measurement === undefined) {
            wasEmpty = true;
            return;
        }
        const nowMs = opts.nowMs();
        const { token, pools } = measurement;
        const summary = summarizeLoad({ token, pools, accounts: pools.length === 0 ? [] : opts.accounts() });
        reportPools(summary, measurement, nowMs);
        const isEmpty = summary.pools.length === 0;
        if (isEmpty && wasEmpty && nowMs - sentAtMs < emptyIntervalMs) {
            return;
        }
        wasEmpty = isEmpty;
        sentAtMs = nowMs;
        opts.broadcast(summary);
    }

    return {
        start: () => void (timer = setInterval(tick, intervalMs)),
        stop: () => clearInterval(timer),
    };
}
