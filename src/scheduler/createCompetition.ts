import {
    chooseEntitlements,
    createNeedLimits,
    type Entitlements,
    type IdleMachine,
    type MoveChoice,
    type PoolDemand,
} from "../machines";
import { acceptsNewWork, type DurationEstimates, groupByPool, type SchedulerState } from "../schedule";
import { applyMoves } from "./applyMoves";
import { createReclaimer, type IsTakenOver, type OccupiedMachine } from "./createReclaimer";

export interface CompetitionOptions {
    readonly state: SchedulerState;
    readonly estimates: DurationEstimates;
    /** Time from the decision to move a machine until it takes work, in milliseconds. */
    readonly joinMs: number;
}

export interface CompetitionRound {
    readonly demand: readonly PoolDemand[];
    readonly entitlements: Entitlements;
    /** Moves chosen in this round, and the idle machines that they were chosen from. */
    readonly moves: readonly MoveChoice[];
    readonly idle: readonly IdleMachine[];
    readonly impossibleMoves: ReadonlySet<string>;
    /** Machines that no order, wave or evacuation concerns. */
    readonly machines: readonly OccupiedMachine[];
    readonly isTakenOver: IsTakenOver;
    readonly nowMs: number;
}

/** Cores of the fleet's machines by the platform's list, in thousandths. */
export interface MachineCores {
    /** Machines in the standby pool or on their way to it, and others on their way that this leader has not ordered. */
    readonly unassignedCpuMillis: number;
    /** Machines that belong to a pool, or that this leader has ordered to it. */
    readonly heldCpuMillis: (pool: string) => number;
}

/** Whether the pools compete, and the demand that decisions on machines are based on. */
export interface Judgement {
    readonly entitlements: Entitlements;
    /** While the pools compete, without machines on their way that are part of their pool's capacity already. */
    readonly demand: readonly PoolDemand[];
}

/** Divides the machines among pools that together need more than there are. */
export interface Competition {
    /** Ids of the machines that run empty for another pool. */
    readonly reclaimed: ReadonlySet<string>;
    /** Number of these machines in a pool. */
    countReclaimed(pool: string): number;
    /** Gives up reclaimed machines that an order or a wave has taken over, without ending their reservation. */
    handOver(isTakenOver: IsTakenOver): void;
    /** Computes the entitlements of the pools. Where there are enough machines, reclaimed ones take work again. */
    judge(demand: readonly PoolDemand[], cores: MachineCores, nowMs: number): Judgement;
    /** Chooses the machines that run empty from now on. */
    reclaim(round: CompetitionRound): void;
}

/** Creates the state of the competition during one tenure. */
export function createCompetition(opts: CompetitionOptions): Competition {
    const reclaimer = createReclaimer(opts);
    const needLimits = createNeedLimits(opts.joinMs);

    /**
     * Cores of workers whose run list has not been read, in thousandths. They are part of no pool's capacity yet. Without
     * them, the pools would seem to compete after each change of leader.
     */
    function unreadCpuMillis(): number {
        return [...opts.state.workers.values()]
            .filter(({ runList, isRegistered, isDraining, isEvacuated, isReserved }) =>
                runList.kind === "unread" && isRegistered && !isDraining && !isEvacuated && !isReserved
            )
            .reduce((sum, { capacity }) => sum + capacity.cpuMillis, 0);
    }

    /**
     * Leaves out machines on their way whose next worker is part of their pool's capacity already. The platform's list shows
     * up to half a second late that they have joined. With them the pools would have more than all machines together, and
     * entitlements would change with each machine that joins.
     */
    function withoutJoined(demand: readonly PoolDemand[], heldCpuMillis: (pool: string) => number): PoolDemand[] {
        const workers = groupByPool(opts.state);
        return demand.map((pool) => {
            const serving = (workers.get(pool.pool) ?? []).filter(acceptsNewWork);
            const servingCpuMillis = serving.reduce((sum, { capacity }) => sum + capacity.cpuMillis, 0);
            const away = heldCpuMillis(pool.pool) - reclaimer.reclaimedCpuMillis(pool.pool) - servingCpuMillis;
            return { ...pool, comingCpuMillis: Math.min(pool.comingCpuMillis, Math.max(0, away)) };
        });
    }

    return {
        reclaimed: reclaimer.reclaimed,
        countReclaimed: reclaimer.countReclaimed,
        handOver: reclaimer.handOver,
        judge(demand, { unassignedCpuMillis, heldCpuMillis }, nowMs) {
            const pools = withoutJoined(demand.filter(({ isStandby }) => !isStandby), heldCpuMillis);
            const totalCpuMillis = pools.reduce(
                (sum, { pool, capacityCpuMillis, comingCpuMillis }) =>
                    sum + capacityCpuMillis + comingCpuMillis + reclaimer.reclaimedCpuMillis(pool),
                unassignedCpuMillis + unreadCpuMillis(),
            );
            const limitsCpuMillis = needLimits.update(pools, nowMs);
            const entitlements = chooseEntitlements({ pools, totalCpuMillis, limitsCpuMillis });
            if (entitlements === undefined) {
                reclaimer.releaseAll();
                return { entitlements, demand };
            }
            return { entitlements, demand: [...pools, ...demand.filter(({ isStandby }) => isStandby)] };
        },
        reclaim({ demand, entitlements, moves, idle, impossibleMoves, machines, isTakenOver, nowMs }) {
            reclaimer.handOver(isTakenOver);
            if (entitlements === undefined) {
                return;
            }
            const idleById = new Map(idle.map((machine) => [machine.id, machine]));
            const appliedMoves = moves.flatMap(({ machine, from, to }) => {
                const found = idleById.get(machine);
                return found === undefined
                    ? []
                    : [{ from, to, cpuMillis: found.cpuMillis, isReclaimed: found.isReclaimed }];
            });
            reclaimer.decide({
                pools: applyMoves(demand, appliedMoves),
                entitlements,
                impossibleMoves,
                machines,
                nowMs,
            });
        },
    };
}
