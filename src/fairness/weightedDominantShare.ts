import type { Resources } from "../resources";

/**
 * Weighted dominant share: the largest part of the total in use in any dimension, divided by the weight. Infinite for a
 * weight of 0.
 */
export function weightedDominantShare(used: Resources, total: Resources, weight: number): number {
    if (weight <= 0) {
        return Number.POSITIVE_INFINITY;
    }
    const share = (part: number, whole: number) => whole > 0 ? part / whole : 0;
    return Math.max(
        share(used.cpuMillis, total.cpuMillis),
        share(used.memoryMb, total.memoryMb),
        share(used.accelerators, total.accelerators),
    ) / weight;
}
