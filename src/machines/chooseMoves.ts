/** A machine that could join another pool now. */
export interface IdleMachine {
    readonly id: string;
    readonly pool: string;
    readonly cpuMillis: number;
    /** How long it has had nothing to do, in milliseconds. */
    readonly idleMs: number;
}

/** What a pool needs and has. */
export interface PoolDemand {
    readonly pool: string;
    readonly isStandby: boolean;
    /** Processors that ready tasks wait for, in thousandths. */
    readonly waitingCpuMillis: number;
    /** Processors that are free on its workers, or will be when machines on their way have joined, in thousandths. */
    readonly freeCpuMillis: number;
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
 * Processors that have to wait in a pool before a machine is sent there, in thousandths. A move costs about as much as
 * 1.1 s of a machine in a pool, so a machine pays where it finds a second of work for a sixth of its processors.
 */
const shortageCpuMillis = 5000;

/**
 * A machine without work for this long is parked in the standby pool, in milliseconds. Each queue's turn comes back
 * within seconds; parking sooner costs two moves and leaves the next turn short.
 */
const parkAfterMs = 6000;

/**
 * Which machines should change pools now.
 *
 * Demand turns from queue to queue: in its turn each asks several times what its pool holds, for about as long as a
 * machine takes to join. Idle machines go, one by one, to the pool that is shortest of processors; those that have
 * stood idle longest go first, and those that are off before those that a pool may need again.
 */
export function chooseMoves(opts: MoveOptions): readonly MoveChoice[] {
    const shortage = new Map(
        opts.pools.filter(({ isStandby }) => !isStandby).map((
            { pool, waitingCpuMillis, freeCpuMillis },
        ) => [pool, waitingCpuMillis - freeCpuMillis]),
    );
    const standby = opts.pools.find(({ isStandby }) => isStandby)?.pool;
    const idle = [...opts.idle].sort((a, b) =>
        Number(b.pool === standby) - Number(a.pool === standby) || b.idleMs - a.idleMs
    );
    const choices: MoveChoice[] = [];
    while (choices.length < opts.maxMoves) {
        const [to, short] = [...shortage].reduce((most, pool) => pool[1] > most[1] ? pool : most, ["", 0]);
        const index = short < shortageCpuMillis
            ? -1
            : idle.findIndex(({ id, pool }) =>
                pool !== to && !opts.impossible.has(`${id} ${to}`)
                && (pool === standby || (shortage.get(pool) ?? 0) <= 0)
            );
        const [machine] = index < 0 ? [] : idle.splice(index, 1);
        if (machine === undefined) {
            break;
        }
        shortage.set(to, short - machine.cpuMillis);
        shortage.set(machine.pool, (shortage.get(machine.pool) ?? 0) + machine.cpuMillis);
        choices.push({ machine: machine.id, from: machine.pool, to, reason: `${Math.round(short)} cpu millis wait` });
    }
    return [...choices, ...park(idle, standby, opts.maxMoves - choices.length)];
}

function park(idle: readonly IdleMachine[], standby: string | undefined, most: number): readonly MoveChoice[] {
    if (standby === undefined) {
        return [];
    }
    return idle
        .filter(({ pool, idleMs }) => pool !== standby && idleMs >= parkAfterMs)
        .slice(0, Math.max(0, most))
        .map(({ id, pool, idleMs }) => ({ machine: id, from: pool, to: standby, reason: `idle for ${idleMs} ms` }));
}
