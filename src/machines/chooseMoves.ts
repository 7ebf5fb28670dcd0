/** A machine without work, which could join another pool now. */
export interface IdleMachine {
    readonly id: string;
    readonly pool: string;
    readonly cpuMillis: number;
    /** How long it has had nothing to do, in milliseconds. */
    readonly idleMs: number;
    /** Its availability zone is under evacuation: it can be moved to the standby pool, but is of no use to any other pool. */
    readonly isEvacuated: boolean;
    /** It was emptied for a pool below its entitlement. The capacity and machine count of its pool don't include it. */
    readonly isReclaimed: boolean;
}

/** Demand and capacity of a pool. Processors are in thousandths, without those of long-running tasks that have a worker. */
export interface PoolDemand {
    readonly pool: string;
    readonly isStandby: boolean;
    /** Processors that ready tasks wait for. */
    readonly waitingCpuMillis: number;
    /** The part of it that fits on no single worker, however much is free in total. */
    readonly unplaceableCpuMillis: number;
    /** Processors that it needs by the time at which a machine that is sent now has joined. */
    readonly neededCpuMillis: number;
    /** The part of it that belongs to submissions within the rates of their accounts. */
    readonly conformingNeedCpuMillis: number;
    /** Processors in use by tasks that end by themselves. */
    readonly usedCpuMillis: number;
    /** Idle processors on which tasks could run that have been waiting for a while. */
    readonly startableCpuMillis: number;
    /** Processors of its largest machine. */
    readonly machineCpuMillis: number;
    /** Processors of its workers. */
    readonly capacityCpuMillis: number;
    /** Processors of machines on their way to it. */
    readonly comingCpuMillis: number;
    /** Processors beyond its need that it keeps while it has little to do. */
    readonly reserveCpuMillis: number;
    /** Number of machines that serve it, without those that are kept free of work for a move or for maintenance. */
    readonly machineCount: number;
}

/** A move of a machine between two pools. */
export interface MoveChoice {
    readonly machine: string;
    readonly from: string;
    readonly to: string;
    readonly reason: string;
}

export interface MoveOptions {
    readonly pools: readonly PoolDemand[];
    readonly idle: readonly IdleMachine[];
    /** Moves that the platform has answered as impossible: machine id and pool name, separated by a space. */
    readonly impossibleMoves: ReadonlySet<string>;
    /** Most moves to choose; the platform takes a limited number of orders a second. */
    readonly maxMoves: number;
    /** Processors to which each pool is entitled, in thousandths; `undefined` while there are enough machines for all. */
    readonly entitlements?: ReadonlyMap<string, number> | undefined;
}

/**
 * Capacity that a pool gets for each processor that it needs. Tasks take a tenth to a third of a machine each, and
 * fragmentation leaves a tenth of the capacity and more unused.
 */
export const fragmentationFactor = 1.2;

/**
 * Least shortage for which a machine is sent to a pool, as a share of the machine's processors. A move costs about as much
 * as a machine in a pool for 1.1 s, so it pays off if the machine finds about a second of work for a third of its
 * processors.
 */
export const minMissingShare = 0.3;

/**
 * A machine that its pool doesn't need goes to the standby pool after this time without work, in milliseconds. Staying idle
 * that long costs about as much as the move.
 */
const standbyAfterMs = 1200;

/**
 * While pools compete, a machine that joined a pool with waiting tasks is not taken from it before this time without work,
 * in milliseconds: two rounds of decisions, in which it gets its first tasks.
 */
const minIdleMs = 300;

/** Machines that each pool keeps, so that its first task doesn't wait for a machine to join. */
const minMachinesPerPool = 1;

/**
 * Processors that a pool lacks (above 0) or has to spare (below 0), in thousandths. Work that fits on no single worker is a
 * shortage even if the pool's total capacity suffices.
 */
export function findShortage(pool: PoolDemand): number {
    const missing = pool.neededCpuMillis * fragmentationFactor - pool.capacityCpuMillis;
    return Math.max(missing, pool.unplaceableCpuMillis > 0 ? pool.unplaceableCpuMillis : missing)
        - pool.comingCpuMillis;
}

/**
 * Chooses the machines that change pools now.
 *
 * The queues have busy periods at different times, in which a queue needs several times the capacity of its pool. Idle
 * machines go, one by one, to the pool with the largest shortage, whether for waiting or for arriving work. Machines of
 * the standby pool go first, then those that have been idle longest. Machines that no pool needs go to the standby pool,
 * even if their pool has had no work yet: from there they join any pool as fast as from another pool, and meanwhile cost
 * nothing. Machines in an availability zone under evacuation go only to the standby pool.
 *
 * While the pools together need more than there is, shortages are measured against their entitlements, and the pool with the
 * smallest part of its entitlement comes first. By the largest shortage, a pool with a large backlog would get every machine.
 */
export function chooseMoves(opts: MoveOptions): readonly MoveChoice[] {
    const { entitlements } = opts;
    const pools = new Map(opts.pools.map((pool) => [pool.pool, pool]));
    const shortage = new Map(
        opts.pools.filter(({ isStandby }) => !isStandby).map((pool) => [
            pool.pool,
            entitlements === undefined ? findShortage(pool) : findDeficit(pool, entitlements),
        ]),
    );
    const standby = opts.pools.find(({ isStandby }) => isStandby)?.pool;
    const rank = ({ pool, isReclaimed }: IdleMachine) => pool === standby ? 0 : isReclaimed ? 1 : 2;
    const idle = [...opts.idle].sort((a, b) => rank(a) - rank(b) || b.idleMs - a.idleMs);
    const choices: MoveChoice[] = [];
    const unserved = new Set<string>();
    while (choices.length < opts.maxMoves) {
        const [to, short] = findNeediest(shortage, unserved, entitlements);
        const isUnplaceable = (pools.get(to)?.unplaceableCpuMillis ?? 0) > 0;
        const index = idle.findIndex((machine) =>
            machine.pool !== to && !machine.isEvacuated && !opts.impossibleMoves.has(`${machine.id} ${to}`)
            && (isUnplaceable ? short > 0 : short >= minMissingShare * machine.cpuMillis)
            && (machine.pool === standby || canLeave(machine, pools.get(machine.pool), shortage, entitlements))
        );
        const [machine] = index < 0 ? [] : idle.splice(index, 1);
        if (machine === undefined) {
            if (entitlements === undefined || to === "") {
                break;
            }
            // A pool that lacks a small part of a machine must not keep machines from the others.
            unserved.add(to);
            continue;
        }
        shortage.set(to, short - machine.cpuMillis);
        if (machine.pool !== standby && !machine.isReclaimed) {
            shortage.set(machine.pool, (shortage.get(machine.pool) ?? 0) + machine.cpuMillis);
        }
        choices.push({
            machine: machine.id,
            from: machine.pool,
            to,
            reason: `the pool lacks ${Math.round(short)} millicores`,
        });
    }
    const others = idle.filter(({ isReclaimed }) => !isReclaimed);
    return [...choices, ...chooseStandbyMoves(others, standby, shortage, pools, opts.maxMoves - choices.length)];
}

/** Processors that a pool lacks (above 0) or has beyond its entitlement (below 0), in thousandths. */
function findDeficit(pool: PoolDemand, entitlements: ReadonlyMap<string, number>): number {
    return (entitlements.get(pool.pool) ?? 0) - pool.capacityCpuMillis - pool.comingCpuMillis;
}

/** The pool that gets the next machine, and what it lacks; an empty name if no pool lacks anything. */
function findNeediest(
    shortage: ReadonlyMap<string, number>,
    unserved: ReadonlySet<string>,
    entitlements: ReadonlyMap<string, number> | undefined,
): readonly [string, number] {
    const weigh = ([pool, short]: readonly [string, number]) =>
        entitlements === undefined ? short : short / Math.max(1, entitlements.get(pool) ?? 0);
    return [...shortage].filter(([pool]) => !unserved.has(pool))
        .reduce<readonly [string, number]>((most, pool) => weigh(pool) > weigh(most) ? pool : most, ["", 0]);
}

/** Whether a pool can do without an idle machine. */
function canLeave(
    { pool, cpuMillis, idleMs, isReclaimed }: IdleMachine,
    demand: PoolDemand | undefined,
    shortage: ReadonlyMap<string, number>,
    entitlements: ReadonlyMap<string, number> | undefined,
): boolean {
    const short = shortage.get(pool) ?? 0;
    if (isReclaimed) {
        return short <= 0;
    }
    const isWanted = entitlements !== undefined && demand !== undefined && findShortage(demand) > 0;
    return short + cpuMillis <= 0 && (!isWanted || idleMs >= minIdleMs);
}

function chooseStandbyMoves(
    idle: readonly IdleMachine[],
    standby: string | undefined,
    shortage: Map<string, number>,
    pools: ReadonlyMap<string, PoolDemand>,
    maxMoves: number,
): readonly MoveChoice[] {
    const choices: MoveChoice[] = [];
    if (standby === undefined) {
        return choices;
    }
    const machines = new Map([...pools.values()].map(({ pool, machineCount: count }) => [pool, count]));
    for (const { id, pool, cpuMillis, idleMs, isEvacuated } of idle) {
        // The capacity and machine count of its pool don't include a machine under evacuation.
        const without = (shortage.get(pool) ?? 0) + (isEvacuated ? 0 : cpuMillis);
        const left = (machines.get(pool) ?? 0) - (isEvacuated ? 0 : 1);
        const isSpare = without + (pools.get(pool)?.reserveCpuMillis ?? 0) <= 0 && left >= minMachinesPerPool
            || isEvacuated;
        if (choices.length < maxMoves && pool !== standby && idleMs >= standbyAfterMs && isSpare) {
            shortage.set(pool, without);
            machines.set(pool, left);
            choices.push({ machine: id, from: pool, to: standby, reason: `idle for ${Math.round(idleMs)} ms` });
        }
    }
    return choices;
}
