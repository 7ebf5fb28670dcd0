import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Random choices that are the same for the same seed. */
export interface Random {
    /** A whole number from `min` to `max`, both included. */
    int(min: number, max: number): number;
    /** True with the given probability, in hundredths. */
    chance(percent: number): boolean;
    pick<T>(items: readonly T[]): T;
    /** A number from 0 to below 1. */
    real(): number;
}

const realSteps = 2 ** 24;

export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    const int = (min: number, max: number) => uniformInt(generator, min, max);
    return {
        int,
        chance: (percent) => int(1, 100) <= percent,
        pick: (items) => items[int(0, items.length - 1)] as typeof items[number],
        real: () => int(0, realSteps - 1) / realSteps,
    };
}
