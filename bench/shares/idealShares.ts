/** What one team wants, in slots, and its weight. */
export interface Want {
    readonly weight: number;
    readonly slots: number;
}

const rounds = 60;

/** Weighted max-min by bisection on the level; independent of the product's own way. */
export function idealShares(wants: readonly Want[], slots: number): readonly number[] {
    const total = wants.reduce((sum, want) => sum + want.slots, 0);
    if (total <= slots) {
        return wants.map((want) => want.slots);
    }
    let [low, high] = [0, slots];
    for (let round = 0; round < rounds; round++) {
        const level = (low + high) / 2;
        const used = wants.reduce((sum, want) => sum + Math.min(want.slots, want.weight * level), 0);
        [low, high] = used > slots ? [low, level] : [level, high];
    }
    return wants.map((want) => Math.min(want.slots, want.weight * low));
}
