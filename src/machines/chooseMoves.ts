/** A machine that could join another pool now. */
export interface IdleMachine {
    readonly id: string;
    readonly pool: string;
    readonly cpuMillis: number;
    /** How long it has had nothing to do, in milliseconds. */
    readonly idleMs: number;
}

/** What a pool needs and has; processors in thousandths. */
export interface PoolDemand {
    readonly pool: string;
    readonly isStandby: boolean;
    /** Processors that ready tasks wait for. */
    readonly waitingCpuMillis: number;
    /** The part of it for which no single worker has a place, however much is free in all. */
    readonly unplaceableCpuMillis: number;
    /** Processors that the work arriving now keeps busy. */
    readonly offeredCpuMillis: number;
    /** Processors in use by tasks that end by themselves. */
    readonly busyCpuMillis: number;
    /** Processors that are free on its workers. */
    readonly freeCpuMillis: number;
    /** Processors of machines on their way to it. */
    readonly comingCpuMillis: number;
    /** Whether its demand has been followed for long enough to tell what it can do without. */
    readonly isKnown: boolean;
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
 * Processors that have to be missing in a pool before a machine is sent there, in thousandths. A move costs about as much
 * as 1.1 s of a machine in a pool, so a machine pays where it finds a second of work for a sixth of its processors.
 */
export const shortageCpuMillis = 5000;

/**
 * A machine beyond what its pool needs is parked in the standby pool after this time without work, in milliseconds. From
 * there it joins any pool as fast as from a pool that does not need it, and costs nothing meanwhile.
 */
const parkAfterMs = 1200;

/** The same where nothing is known yet of a pool's demand: what operators have set stands until it shows. */
const parkUnknownAfterMs = 20_000;

/** Room kept free in a pool beyond what is in use and arrives, in thousandths: the first tasks of a turn find it. */
const reserveCpuMillis = 12_000;

/** Processors that a pool lacks (above 0) or could do without (below 0), in thousandths. */
export function findShortage(pool: PoolDemand): number {
    const arriving = Math.max(0, pool.offeredCpuMillis - pool.busyCpuMillis);
    const wanted = pool.waitingCpuMillis + arriving - pool.freeCpuMillis;
    const stuck = pool.unplaceableCpuMillis > 0 ? Math.max(pool.unplaceableCpuMillis, shortageCpuMillis) : 0;
    return (stuck > 0 ? Math.max(wanted, stuck) : wanted) - pool.comingCpuMillis;
}

/**
 * Which machines should change pools now.
 *
 * Demand turns from queue to queue: in its turn each asks several times what its pool holds. Idle machines go, one by
 * one, to the pool that is shortest of processors, whether for what waits or for what arrives; those that are off go
 * first, then those that have stood idle longest; a pool whose demand is not known yet lends last. Machines that no pool
 * needs are parked.
 */
export function chooseMoves(opts: MoveOptions): readonly MoveChoice[] {
    const shortage = new Map(
        opts.pools.filter(({ isStandby }) => !isStandby).map((pool) => [pool.pool, findShortage(pool)]),
    );
    const standby = opts.pools.find(({ isStandby }) => isStandby)?.pool;
    const unknown = new Set(opts.pools.filter(({ isKnown }) => !isKnown).map(({ pool }) => pool));
    const rank = ({ pool }: IdleMachine) => pool === standby ? 0 : unknown.has(pool) ? 2 : 1;
    const idle = [...opts.idle].sort((a, b) => rank(a) - rank(b) || b.idleMs - a.idleMs);
    const choices: MoveChoice[] = [];
    while (choices.length < opts.maxMoves) {
        const [to, short] = [...shortage].reduce((most, pool) => pool[1] > most[1] ? pool : most, ["", 0]);
        const index = short < shortageCpuMillis
            ? -1
            : idle.findIndex(({ id, pool, cpuMillis }) =>
                pool !== to && !opts.impossible.has(`${id} ${to}`)
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
    return [...choices, ...park(idle, standby, shortage, opts, opts.maxMoves - choices.length)];
}

function park(
    idle: readonly IdleMachine[],
    standby: string | undefined,
    shortage: Map<string, number>,
    { pools }: MoveOptions,
    most: number,
): readonly MoveChoice[] {
    const choices: MoveChoice[] = [];
    if (standby === undefined) {
        return choices;
    }
    const known = new Set(pools.filter(({ isKnown }) => isKnown).map(({ pool }) => pool));
    for (const { id, pool, cpuMillis, idleMs } of idle) {
        const without = (shortage.get(pool) ?? 0) + cpuMillis + reserveCpuMillis;
        const isDue = idleMs >= (known.has(pool) ? parkAfterMs : parkUnknownAfterMs);
        if (choices.length < most && pool !== standby && isDue && without <= 0) {
            shortage.set(pool, without - reserveCpuMillis);
            choices.push({ machine: id, from: pool, to: standby, reason: `idle for ${Math.round(idleMs)} ms` });
        }
    }
    return choices;
}
