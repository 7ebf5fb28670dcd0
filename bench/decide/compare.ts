import { mean, quantileSorted, sampleWithReplacement } from "simple-statistics";
import { createRandom } from "../../standins/random";

/** The same day and seed played by two variants. */
export interface Pair {
    readonly setting: string;
    readonly standing: number;
    readonly other: number;
}

export interface Difference {
    readonly pairs: number;
    readonly mean: number;
    /** Where 95 of 100 such means lie, by resampling of the pairs. */
    readonly least: number;
    readonly most: number;
}

const resamples = 2000;
const seed = 1;

/** How much better the other variant is, with its interval. */
export function compare(pairs: readonly Pair[]): Difference {
    const differences = pairs.map(({ standing, other }) => other - standing);
    if (differences.length === 0) {
        return { pairs: 0, mean: 0, least: 0, most: 0 };
    }
    const random = createRandom(seed);
    const means = Array.from(
        { length: resamples },
        () => mean(sampleWithReplacement(differences, differences.length, random.real)),
    ).sort((a, b) => a - b);
    return {
        pairs: differences.length,
        mean: mean(differences),
        least: quantileSorted(means, 0.025),
        most: quantileSorted(means, 0.975),
    };
}
