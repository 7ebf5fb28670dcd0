import { minMissingShare, type PoolDemand } from "./chooseMoves";

/** A machine in use, or reclaimed and not moved yet. */
export interface ReclaimCandidate {
    readonly id: string;
    readonly pool: string;
    readonly cpuMillis: number;
    /** Expected time until it has nothing left to run, in milliseconds. */
    readonly emptyInMs: number;
    /** Time since it has joined its pool, as far as this leader knows, in milliseconds. */
    readonly stayedMs: number;
    readonly hasLongRunning: boolean;
    /** It gets no new tasks already, and the capacity of its pool doesn't include it. */
    readonly isReclaimed: boolean;
}

export interface ReclaimOptions {
    readonly pools: readonly PoolDemand[];
    /** Processors to which each pool is entitled, in thousandths. */
    readonly entitlements: ReadonlyMap<string, number>;
    readonly candidates: readonly ReclaimCandidate[];
    /** Moves that the platform has answered as impossible: machine id and pool name, separated by a space. */
    readonly impossibleMoves: ReadonlySet<string>;
    /** A machine stays in its pool for at least this time, in milliseconds. */
    readonly minStayMs: number;
}

/** Part of a pool's machines that are reclaimed at a time. A smaller part than one machine counts as one machine. */
const maxReclaimedShare = 0.25;

/** Processors of the pools relative to their entitlements, while machines are chosen. */
interface Balance {
    /** Processors that pools lack, in thousandths. */
    readonly missing: Map<string, number>;
    /** Processors that pools have beyond their entitlements, in thousandths; below 0: that they lack. */
    readonly surplus: Map<string, number>;
    /** Number of machines that may still be reclaimed from each pool. */
    readonly allowed: Map<string, number>;
}

/**
 * Chooses the machines that get no new tasks until they are empty and can be moved: as many as pools below their
 * entitlements lack, from pools that are above theirs without them. Returns all of them, those of earlier rounds included;
 * the others of earlier rounds accept work again.
 *
 * To start it takes a shortage and a surplus of a machine each. A machine that is already reclaimed stays so as long as
 * `chooseMoves` would send it, so that small changes of the needs don't reserve and release machines in turn.
 */
export function chooseReclaims(opts: ReclaimOptions): readonly string[] {
    const balance = createBalance(opts);
    const candidates = opts.candidates
        .filter(({ hasLongRunning, isReclaimed, stayedMs }) =>
            !hasLongRunning && (isReclaimed || stayedMs >= opts.minStayMs)
        )
        .sort((a, b) => Number(b.isReclaimed) - Number(a.isReclaimed) || a.emptyInMs - b.emptyInMs);
    return candidates.filter((machine) => takeIfMissing(machine, balance, opts)).map(({ id }) => id);
}

function createBalance({ pools, entitlements, candidates }: ReclaimOptions): Balance {
    const surplus = new Map<string, number>();
    const missing = new Map<string, number>();
    const allowed = new Map<string, number>();
    for (const pool of pools.filter(({ isStandby }) => !isStandby)) {
        const above = pool.capacityCpuMillis + pool.comingCpuMillis - (entitlements.get(pool.pool) ?? 0);
        surplus.set(pool.pool, above);
        missing.set(pool.pool, Math.max(0, -above));
        const reclaimed = candidates.filter(({ isReclaimed, pool: from }) => isReclaimed && from === pool.pool).length;
        allowed.set(pool.pool, Math.max(1, Math.floor(maxReclaimedShare * (pool.machineCount + reclaimed))));
    }
    return { surplus, missing, allowed };
}

/** Whether a pool lacks the machine and its own pool can give it. Updates the balance if so. */
function takeIfMissing(machine: ReclaimCandidate, balance: Balance, opts: ReclaimOptions): boolean {
    const { surplus, missing, allowed } = balance;
    const { pool, cpuMillis, isReclaimed } = machine;
    const spareCpuMillis = surplus.get(pool) ?? 0;
    const left = allowed.get(pool) ?? 0;
    const to = opts.pools.find((each) =>
        each.pool !== pool && !opts.impossibleMoves.has(`${machine.id} ${each.pool}`)
        && isMissing(each, missing.get(each.pool) ?? 0, machine)
    );
    if (to === undefined || left < 1 || spareCpuMillis < (isReclaimed ? 0 : cpuMillis)) {
        return false;
    }
    missing.set(to.pool, (missing.get(to.pool) ?? 0) - cpuMillis);
    surplus.set(pool, spareCpuMillis - (isReclaimed ? 0 : cpuMillis));
    allowed.set(pool, left - 1);
    return true;
}

/** Work that fits on no single worker needs a machine although less than a machine is missing. */
function isMissing({ unplaceableCpuMillis }: PoolDemand, missing: number, machine: ReclaimCandidate): boolean {
    const least = unplaceableCpuMillis > 0 ? 0 : machine.isReclaimed ? minMissingShare : 1;
    return missing > 0 && missing >= least * machine.cpuMillis;
}
