/** A machine that could join another pool now. */
export interface IdleMachine {
    readonly id: string;
    readonly pool: string;
    readonly cpuMillis: number;
    /** How long it has had nothing to do, in milliseconds. */
    readonly idleMs: number;
    /** Its availability zone is under evacuation: it can be parked, and is of no use to any pool. */
    readonly isEvacuated: boolean;
}

/** What a pool needs and has; processors in thousandths, without those of long-running tasks that have their place. */
export interface PoolDemand {
    readonly pool: string;
    readonly isStandby: boolean;
    /** Processors that ready tasks wait for. */
    readonly waitingCpuMillis: number;
    /** The part of it for which no single worker has a place, however much is free in all. */
    readonly unplaceableCpuMillis: number;
    /** Processors that it needs by when a machine that is sent now has joined. */
    readonly neededCpuMillis: number;
    /** Processors that its workers have. */
    readonly roomCpuMillis: number;
    /** Processors of machines on their way to it. */
    readonly comingCpuMillis: number;
    /** Processors beyond its need that are left to it while it has little to do. */
    readonly reserveCpuMillis: number;
    /** Machines that serve it, without those that are kept free of work to be moved or maintained. */
    readonly machines: number;
}

export interface MoveChoice {
    readonly machine: string;
    readonly from: string;
    readonly to: string;
    readonly reason: string;
}

export interface MoveOptions {
    readonly pools: readonly PoolDemand[];
    readonly idle: readonly IdleMachine[];
    /** Machines that cannot join a pool, as "machine pool". */
    readonly impossible: ReadonlySet<string>;
    /** Moves at most at once; the platform takes a bounded number of orders a second. */
    readonly maxMoves: number;
}

/**
 * Room that a pool gets for each processor that it needs: tasks take a tenth to a third of a machine each, and the holes
 * that they leave add up to a tenth and more.
 */
const roomFactor = 1.2;

/**
 * Part of a machine that has to be missing in a pool before one is sent there. A move costs about as much as 1.1 s of a
 * machine in a pool, so it pays where the machine finds about a second of work for a third of its processors.
 */
export const leastMissingShare = 0.3;

/**
 * A machine beyond what its pool needs is parked in the standby pool after this time without work, in milliseconds: about
 * what the move costs.
 */
const parkAfterMs = 1200;

/** Machines that each pool keeps, so that its first task does not wait for one to join. */
const keptMachines = 1;

/** Processors that a pool lacks (above 0) or could do without (below 0), in thousandths. */
export function findShortage(pool: PoolDemand): number {
    const missing = pool.neededCpuMillis * roomFactor - pool.roomCpuMillis;
    return Math.max(missing, pool.unplaceableCpuMillis > 0 ? pool.unplaceableCpuMillis : missing)
        - pool.comingCpuMillis;
}

/**
 * Which machines should change pools now.
 *
 * Demand turns from queue to queue: in its turn each asks several times what its pool holds. Idle machines go, one by
 * one, to the pool that is shortest of processors, whether for what waits or for what arrives; those that are off go
 * first, then those that have stood idle longest. Machines that no pool needs are parked, also before a pool has had any
 * work: from the standby pool they join any pool as fast as from another one, and cost nothing meanwhile. Machines of an
 * availability zone under evacuation are sent nowhere but there.
 */
export function chooseMoves(opts: MoveOptions): readonly MoveChoice[] {
    const pools = new Map(opts.pools.map((pool) => [pool.pool, pool]));
    const shortage = new Map(
        opts.pools.filter(({ isStandby }) => !isStandby).map((pool) => [pool.pool, findShortage(pool)]),
    );
    const standby = opts.pools.find(({ isStandby }) => isStandby)?.pool;
    const rank = ({ pool }: IdleMachine) => pool === standby ? 0 : 1;
    const idle = [...opts.idle].sort((a, b) => rank(a) - rank(b) || b.idleMs - a.idleMs);
    const choices: MoveChoice[] = [];
    while (choices.length < opts.maxMoves) {
        const [to, short] = [...shortage].reduce((most, pool) => pool[1] > most[1] ? pool : most, ["", 0]);
        const isStuck = (pools.get(to)?.unplaceableCpuMillis ?? 0) > 0;
        const index = idle.findIndex(({ id, pool, cpuMillis, isEvacuated }) =>
            pool !== to && !isEvacuated && !opts.impossible.has(`${id} ${to}`)
            && (isStuck ? short > 0 : short >= leastMissingShare * cpuMillis)
            && (pool === standby || (shortage.get(pool) ?? 0) + cpuMillis <= 0)
        );
        const [machine] = index < 0 ? [] : idle.splice(index, 1);
        if (machine === undefined) {
            break;
        }
        shortage.set(to, short - machine.cpuMillis);
        if (machine.pool !== standby) {
            shortage.set(machine.pool, (shortage.get(machine.pool) ?? 0) + machine.cpuMillis);
        }
        choices.push({ machine: machine.id, from: machine.pool, to, reason: `${Math.round(short)} cpu millis wait` });
    }
    return [...choices, ...park(idle, standby, shortage, pools, opts.maxMoves - choices.length)];
}

function park(
    idle: readonly IdleMachine[],
    standby: string | undefined,
    shortage: Map<string, number>,
    pools: ReadonlyMap<string, PoolDemand>,
    most: number,
): readonly MoveChoice[] {
    const choices: MoveChoice[] = [];
    if (standby === undefined) {
        return choices;
    }
    const machines = new Map([...pools.values()].map(({ pool, machines: count }) => [pool, count]));
    for (const { id, pool, cpuMillis, idleMs, isEvacuated } of idle) {
        // Its pool's room and count do not include a machine under evacuation.
        const without = (shortage.get(pool) ?? 0) + (isEvacuated ? 0 : cpuMillis);
        const left = (machines.get(pool) ?? 0) - (isEvacuated ? 0 : 1);
        const isSpare = without + (pools.get(pool)?.reserveCpuMillis ?? 0) <= 0 && left >= keptMachines || isEvacuated;
        if (choices.length < most && pool !== standby && idleMs >= parkAfterMs && isSpare) {
            shortage.set(pool, without);
            machines.set(pool, left);
            choices.push({ machine: id, from: pool, to: standby, reason: `idle for ${Math.round(idleMs)} ms` });
        }
    }
    return choices;
}
