import type { Clocks } from "../clock";
import type { Reporter } from "../logging";
import type { PoolDemand } from "../machines";
import { groupByPool, type SchedulerState, type Worker } from "../schedule";
import type { Judgement } from "./createCompetition";
import { sumPoolUsage } from "./sumPoolUsage";

export interface PoolReportOptions {
    readonly state: SchedulerState;
    readonly clocks: Clocks;
    readonly report: Reporter;
    /** Number of machines of a pool that run empty for another pool. */
    countReclaimed(pool: string): number;
}

/** Logs each pool's capacity and use, and its entitlement while the pools compete; at most once a second. */
export type PoolReport = (demand: readonly PoolDemand[], judgement: Judgement, listAgeMs: number) => void;

/** Interval between logs of each pool, in milliseconds. */
const reportIntervalMs = 1000;

export function createPoolReport({ state, clocks, report, countReclaimed }: PoolReportOptions): PoolReport {
    let reportedAtMs = Number.NEGATIVE_INFINITY;

    function reportUsage(demand: PoolDemand, workers: readonly Worker[]): void {
        const usage = sumPoolUsage(workers);
        report({
            kind: "room",
            pool: demand.pool,
            workers: usage.workers,
            emptyWorkers: usage.emptyWorkers,
            stayingWorkers: usage.longRunningOnlyWorkers,
            cores: toCores(usage.cpuMillis),
            longRunningCores: toCores(usage.longRunningCpuMillis),
            shortCores: toCores(usage.shortCpuMillis),
            waitingCores: toCores(demand.waitingCpuMillis),
            neededCores: toCores(demand.neededCpuMillis),
            comingCores: toCores(demand.comingCpuMillis),
        });
    }

    return (demand, { entitlements, demand: judged }, listAgeMs) => {
        const nowMs = clocks.monotonicMs();
        if (nowMs - reportedAtMs < reportIntervalMs) {
            return;
        }
        reportedAtMs = nowMs;
        const pools = groupByPool(state);
        for (const pool of demand.filter(({ isStandby }) => !isStandby)) {
            reportUsage(pool, pools.get(pool.pool) ?? []);
            const coming = judged.find((each) => each.pool === pool.pool)?.comingCpuMillis ?? 0;
            if (entitlements !== undefined) {
                report({
                    kind: "entitlement",
                    pool: pool.pool,
                    neededCores: toCores(pool.neededCpuMillis),
                    conformingCores: toCores(pool.conformingNeedCpuMillis),
                    entitledCores: toCores(entitlements.get(pool.pool) ?? 0),
                    cores: toCores(pool.capacityCpuMillis),
                    comingCores: toCores(coming),
                    reclaimed: countReclaimed(pool.pool),
                    listAgeMs: Math.round(listAgeMs),
                });
            }
        }
    };
}

function toCores(cpuMillis: number): number {
    return Math.round(cpuMillis / 1000);
}
