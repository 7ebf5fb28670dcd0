import { type DemandMeter, forecastNeedCpuMillis, leastMissingShare, type PoolDemand } from "../machines";
import type { Policy } from "../policy";
import type { Resources } from "../resources";
import {
    type Board,
    type Estimates,
    groupByPool,
    hasTenantRoom,
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

/** What the open submissions of a pool ask for, as far as their client accounts may have it; processors in thousandths. */
interface OpenWork {
    /** What those should have that end by themselves. */
    cpuMillis: number;
    coreMs: number;
    /** What ready tasks wait for, and of them those that last. */
    waitingCpuMillis: number;
    waitingToStayCpuMillis: number;
    /** Part of the work that client accounts may have running at once, by their limits. */
    allowedShare: number;
    /** Submissions that wait for a place, and not for their account's limit. */
    readonly waiting: SubmissionEntry[];
}

/** Work of one client account in one pool that ends by itself. */
interface TenantWork {
    readonly pool: string;
    readonly tenant: string | undefined;
    cpuMillis: number;
    coreMs: number;
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
        arrivingCpuMillis: meter.arrivingCpuMillis(pool, nowMs) * open.allowedShare,
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
    return {
        cpuMillis: 0,
        coreMs: 0,
        waitingCpuMillis: 0,
        waitingToStayCpuMillis: 0,
        allowedShare: 1,
        waiting: [],
    };
}

function sumOpenWork(opts: DemandOptions): ReadonlyMap<string, OpenWork> {
    const pools = new Map<string, OpenWork>();
    const works = new Map<string, TenantWork>();
    const caps = new Map(opts.policy.tenants.map(({ name, cap }) => [name, cap]));
    for (const entry of opts.board.submissions.values()) {
        if (entry.ending === undefined) {
            const { service } = routeOf(opts.policy, entry.submission);
            const { tenant } = entry.submission;
            const open = pools.get(service) ?? createOpenWork();
            pools.set(service, open);
            const key = `${service} ${tenant ?? ""}`;
            const work = works.get(key) ?? { pool: service, tenant, cpuMillis: 0, coreMs: 0 };
            works.set(key, work);
            addOpenWork(open, work, entry, caps.get(tenant ?? ""), opts);
        }
    }
    addAllowed(pools, [...works.values()], caps);
    return pools;
}

/**
 * Adds up what client accounts may have running of what their submissions ask for.
 *
 * An account that sends more than its limit lets it have waits for its own tasks to end. Machines that were sent for it
 * stood empty beside hundreds of cores of waiting work.
 */
function addAllowed(
    pools: ReadonlyMap<string, OpenWork>,
    works: readonly TenantWork[],
    caps: ReadonlyMap<string, Resources>,
): void {
    const wanted = new Map<string | undefined, number>();
    const wantedOf = new Map<string, number>();
    for (const { pool, tenant, cpuMillis } of works) {
        wanted.set(tenant, (wanted.get(tenant) ?? 0) + cpuMillis);
        wantedOf.set(pool, (wantedOf.get(pool) ?? 0) + cpuMillis);
    }
    for (const { pool, tenant, cpuMillis, coreMs } of works) {
        const open = pools.get(pool);
        const most = caps.get(tenant ?? "")?.cpuMillis ?? 0;
        const share = most === 0 ? 1 : Math.min(1, most / Math.max(1, wanted.get(tenant) ?? 0));
        if (open !== undefined) {
            open.cpuMillis += share * cpuMillis;
            open.coreMs += share * coreMs;
        }
    }
    for (const [pool, open] of pools) {
        const sum = wantedOf.get(pool) ?? 0;
        open.allowedShare = sum > 0 ? open.cpuMillis / sum : 1;
    }
}

function addOpenWork(
    open: OpenWork,
    work: TenantWork,
    entry: SubmissionEntry,
    cap: Resources | undefined,
    opts: DemandOptions,
): void {
    const { submission } = entry;
    const cpuMillis = waitingCpuMillis(entry);
    open.waitingCpuMillis += cpuMillis;
    const mayHaveMore = submission.steps.some(({ size }) => hasTenantRoom(opts.board, submission.tenant, cap, size));
    if (cpuMillis > 0 && mayHaveMore) {
        open.waiting.push(entry);
    }
    if (submission.steps.some(({ isLongRunning }) => isLongRunning)) {
        open.waitingToStayCpuMillis += cpuMillis;
        return;
    }
    const outlook = lookAhead(entry, opts.estimates, opts.nowMs);
    const targetMs = targetAgeMs(routeOf(opts.policy, submission), outlook);
    work.cpuMillis += paceOfWorkCpuMillis(outlook, targetMs, opts.timeOfDayMs - submission.acceptedAtMs);
    work.coreMs += outlook.workCoreMs;
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
