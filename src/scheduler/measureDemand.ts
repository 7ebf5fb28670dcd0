import { type DemandMeter, forecastNeedCpuMillis, leastMissingShare, type PoolDemand } from "../machines";
import type { Policy } from "../policy";
import {
    type Board,
    type Estimates,
    groupByPool,
    isOpen,
    lookAhead,
    paceOfWorkCpuMillis,
    routeOf,
    type SubmissionEntry,
    targetAgeMs,
    waitingCpuMillis,
    type Worker,
} from "../schedule";
import { unplaceableCpuMillis, unplaceableStayingCpuMillis } from "./findUnplaceable";
import { sumRoom } from "./sumRoom";

export interface DemandOptions {
    readonly board: Board;
    readonly policy: Policy;
    readonly estimates: Estimates;
    readonly meter: DemandMeter;
    readonly nowMs: number;
    /** Processors of machines on their way to a pool, in thousandths. */
    readonly comingCpuMillis: (pool: string) => number;
    readonly timeOfDayMs: number;
    /** Time from a decision until the machine takes work, in milliseconds. */
    readonly joinMs: number;
}

/** Submissions of a pool that are looked at for tasks without a place; each look goes over all its workers. */
const maxLookedAt = 20;

/**
 * Submissions whose first tasks find room in a pool that has little to do. A turn of short submissions begins with several
 * within a tenth of a second, and they are late when they wait for a machine to join.
 */
const reservedSubmissions = 3;

/** What the open submissions of a pool ask for; processors in thousandths. */
interface OpenWork {
    /** What those should have that end by themselves. */
    cpuMillis: number;
    coreMs: number;
    /** What ready tasks wait for, and of them those that last. */
    waitingCpuMillis: number;
    waitingToStayCpuMillis: number;
    readonly waiting: SubmissionEntry[];
}

/** What each pool needs and has. */
export function measureDemand(opts: DemandOptions): readonly PoolDemand[] {
    const pools = groupByPool(opts.board);
    const open = sumOpenWork(opts);
    return [...opts.policy.services.values()].map(({ name, isStandby }) =>
        measurePool(name, isStandby, pools.get(name) ?? [], open.get(name) ?? createOpenWork(), opts)
    );
}

function measurePool(
    pool: string,
    isStandby: boolean,
    workers: readonly Worker[],
    open: OpenWork,
    opts: DemandOptions,
): PoolDemand {
    const { meter, nowMs, joinMs } = opts;
    const room = sumRoom(workers.filter(isOpen));
    const roomCpuMillis = room.cpuMillis - room.longRunningCpuMillis;
    const comingCpuMillis = opts.comingCpuMillis(pool);
    const passingCpuMillis = forecastNeedCpuMillis({
        openCpuMillis: open.cpuMillis,
        openCoreMs: open.coreMs,
        arrivingCpuMillis: meter.arrivingCpuMillis(pool, nowMs),
        roomCpuMillis,
        comingCpuMillis,
        joinMs,
    });
    const neededCpuMillis = passingCpuMillis + open.waitingToStayCpuMillis + toBeReplacedCpuMillis(workers);
    // Where so much is missing, a machine is sent in any case. A pool without a worker that takes work tells nothing of the
    // size of machines: taken for short, a small task waited for eleven seconds and no machine came.
    const isShort = room.workers > 0 && neededCpuMillis - roomCpuMillis >= leastMissingShare * room.largestCpuMillis;
    const looked = isShort ? [] : open.waiting.slice(0, maxLookedAt);
    const unplaceable = looked.reduce((sum, entry) => sum + unplaceableCpuMillis(entry, workers, nowMs), 0);
    return {
        pool,
        isStandby,
        waitingCpuMillis: open.waitingCpuMillis,
        unplaceableCpuMillis: unplaceable + unplaceableStayingCpuMillis(workers, nowMs),
        neededCpuMillis,
        roomCpuMillis,
        comingCpuMillis,
        reserveCpuMillis: reservedSubmissions * meter.typicalCpuMillis(pool),
        machines: workers.filter(({ isListed, isReserved, isEvacuated }) => isListed && !isReserved && !isEvacuated)
            .length,
    };
}

function createOpenWork(): OpenWork {
    return { cpuMillis: 0, coreMs: 0, waitingCpuMillis: 0, waitingToStayCpuMillis: 0, waiting: [] };
}

function sumOpenWork(opts: DemandOptions): ReadonlyMap<string, OpenWork> {
    const pools = new Map<string, OpenWork>();
    for (const entry of opts.board.submissions.values()) {
        if (entry.ending === undefined) {
            const { service } = routeOf(opts.policy, entry.submission);
            const open = pools.get(service) ?? createOpenWork();
            pools.set(service, open);
            addOpenWork(open, entry, opts);
        }
    }
    return pools;
}

function addOpenWork(open: OpenWork, entry: SubmissionEntry, opts: DemandOptions): void {
    const { submission } = entry;
    const cpuMillis = waitingCpuMillis(entry);
    open.waitingCpuMillis += cpuMillis;
    if (cpuMillis > 0) {
        open.waiting.push(entry);
    }
    if (submission.steps.some(({ isLongRunning }) => isLongRunning)) {
        open.waitingToStayCpuMillis += cpuMillis;
        return;
    }
    const outlook = lookAhead(entry, opts.estimates, opts.nowMs);
    const targetMs = targetAgeMs(routeOf(opts.policy, submission), outlook);
    open.cpuMillis += paceOfWorkCpuMillis(outlook, targetMs, opts.timeOfDayMs - submission.acceptedAtMs);
    open.coreMs += outlook.workCoreMs;
}

/**
 * Processors of long-running tasks on workers that leave or are being emptied, in thousandths. They will be started again
 * in their pool; where its only machine is due for an upkeep there is no other one to take them, and without a second
 * machine on its way the upkeep came late or the tasks stayed away for as long as it took.
 */
function toBeReplacedCpuMillis(workers: readonly Worker[]): number {
    const leaving = workers.filter(({ isListed, isDraining, isReserved }) => isListed && (isDraining || isReserved));
    return sumRoom(leaving).longRunningCpuMillis;
}
