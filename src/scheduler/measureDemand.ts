import { type DemandMeter, type PoolDemand, shortageCpuMillis } from "../machines";
import type { Policy } from "../policy";
import {
    type Board,
    groupByPool,
    isOpen,
    routeOf,
    type SubmissionEntry,
    waitingCpuMillis,
    type Worker,
} from "../schedule";
import { unplaceableCpuMillis } from "./findUnplaceable";

export interface DemandOptions {
    readonly board: Board;
    readonly policy: Policy;
    readonly meter: DemandMeter;
    readonly nowMs: number;
    /** Processors of machines on their way to a pool, in thousandths. */
    readonly comingCpuMillis: (pool: string) => number;
    /** When work first arrived for a pool, milliseconds since 1970; `undefined`: none has. */
    readonly demandSinceMs: (pool: string) => number | undefined;
    /** Work has arrived for a pool. */
    noteDemand(pool: string): void;
    readonly timeOfDayMs: number;
}

/** A pool's machines are left to it for this long after its first work, in milliseconds: its turn may just begin. */
const knownAfterMs = 6000;

/** Submissions of a pool that are looked at for tasks without a place; each look goes over all its workers. */
const maxLookedAt = 20;

/** What each pool needs and has. */
export function measureDemand(opts: DemandOptions): readonly PoolDemand[] {
    const { board, policy, nowMs } = opts;
    const pools = groupByPool(board);
    const waiting = new Map<string, { cpuMillis: number; readonly entries: SubmissionEntry[]; }>();
    for (const entry of board.submissions.values()) {
        if (entry.ending === undefined) {
            const pool = routeOf(policy, entry.submission).service;
            const known = waiting.get(pool) ?? { cpuMillis: 0, entries: [] };
            const cpuMillis = waitingCpuMillis(entry);
            known.cpuMillis += cpuMillis;
            if (cpuMillis > 0) {
                known.entries.push(entry);
            }
            waiting.set(pool, known);
        }
    }
    return [...policy.services.values()].map(({ name, isStandby }) => {
        const offeredCpuMillis = opts.meter.offeredCpuMillis(name, nowMs);
        if (offeredCpuMillis > 0) {
            opts.noteDemand(name);
        }
        const workers = pools.get(name) ?? [];
        const { cpuMillis = 0, entries = [] } = waiting.get(name) ?? {};
        const freeCpuMillis = sumFree(workers);
        // Where so much more waits than is free, a machine is sent in any case.
        const isShort = cpuMillis - freeCpuMillis >= shortageCpuMillis;
        const looked = isShort ? [] : entries.slice(0, maxLookedAt);
        return {
            pool: name,
            isStandby,
            waitingCpuMillis: cpuMillis,
            unplaceableCpuMillis: looked.reduce(
                (sum, entry) => sum + unplaceableCpuMillis(entry, workers, nowMs),
                0,
            ),
            offeredCpuMillis,
            busyCpuMillis: sumRoom(workers).shortCpuMillis,
            freeCpuMillis,
            comingCpuMillis: opts.comingCpuMillis(name),
            isKnown: opts.timeOfDayMs - (opts.demandSinceMs(name) ?? opts.timeOfDayMs) > knownAfterMs,
        };
    });
}

function sumFree(workers: readonly Worker[]): number {
    return workers.filter(isOpen)
        .reduce((sum, { capacity, used }) => sum + Math.max(0, capacity.cpuMillis - used.cpuMillis), 0);
}

/** Processors of a pool's workers, and who uses them, in thousandths. */
export function sumRoom(workers: readonly Worker[]) {
    let [cpuMillis, longRunningCpuMillis, shortCpuMillis] = [0, 0, 0];
    for (const { capacity, runs } of workers) {
        cpuMillis += capacity.cpuMillis;
        for (const { task: { step } } of runs) {
            const used = step.isFiller ? 0 : step.size.cpuMillis;
            longRunningCpuMillis += step.isLongRunning ? used : 0;
            shortCpuMillis += step.isLongRunning ? 0 : used;
        }
    }
    return { workers: workers.length, cpuMillis, longRunningCpuMillis, shortCpuMillis };
}
