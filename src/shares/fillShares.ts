/** One team's demand and weight. */
export interface ShareDemand {
    readonly team: string;
    readonly weight: number;
    /** What it runs and has waiting, as a part of the pool. */
    readonly demand: number;
}

/**
 * Weighted max-min: raises one level for all, so that each team gets the lesser of its demand and weight times level,
 * until the pot is spent.
 */
export function fillShares(demands: readonly ShareDemand[], pot: number): ReadonlyMap<string, number> {
    const shares = new Map<string, number>();
    const rising = [...demands].sort((a, b) => a.demand / a.weight - b.demand / b.weight);
    let weightLeft = rising.reduce((sum, { weight }) => sum + weight, 0);
    let potLeft = pot;
    for (const { team, weight, demand } of rising) {
        const share = Math.min(demand, potLeft * weight / weightLeft);
        shares.set(team, share);
        potLeft -= share;
        weightLeft -= weight;
    }
    return shares;
}
