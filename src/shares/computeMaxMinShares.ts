/** One team's demand and weight. */
export interface ShareDemand {
    readonly team: string;
    readonly weight: number;
    /** Running and waiting tasks, as a part of the pool. */
    readonly demand: number;
}

/**
 * Weighted max-min fairness: raises one common level until `total` is used up. Each team gets the lesser of its demand
 * and its weight times the level.
 */
export function computeMaxMinShares(demands: readonly ShareDemand[], total: number): ReadonlyMap<string, number> {
    const shares = new Map<string, number>();
    const byDemandPerWeight = [...demands].sort((a, b) => a.demand / a.weight - b.demand / b.weight);
    let weightLeft = byDemandPerWeight.reduce((sum, { weight }) => sum + weight, 0);
    let totalLeft = total;
    for (const { team, weight, demand } of byDemandPerWeight) {
        const share = Math.min(demand, totalLeft * weight / weightLeft);
        shares.set(team, share);
        totalLeft -= share;
        weightLeft -= weight;
    }
    return shares;
}
