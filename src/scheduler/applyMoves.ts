import type { PoolDemand } from "../machines";

/** A move that has been chosen, with what is known of its machine. */
export interface AppliedMove {
    readonly from: string;
    readonly to: string;
    readonly cpuMillis: number;
    readonly isReclaimed: boolean;
}

/** The demand of the pools once the moves of this round have begun. */
export function applyMoves(
    pools: readonly PoolDemand[],
    moves: readonly AppliedMove[],
): readonly PoolDemand[] {
    const sum = (list: readonly AppliedMove[]) => list.reduce((total, { cpuMillis }) => total + cpuMillis, 0);
    return pools.map((demand) => {
        const left = moves.filter(({ from, isReclaimed }) => from === demand.pool && !isReclaimed);
        return {
            ...demand,
            capacityCpuMillis: demand.capacityCpuMillis - sum(left),
            machineCount: demand.machineCount - left.length,
            comingCpuMillis: demand.comingCpuMillis + sum(moves.filter(({ to }) => to === demand.pool)),
        };
    });
}
