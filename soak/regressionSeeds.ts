/** A seed that once broke a promise; it is played before fresh ones. */
export interface RegressionSeed {
    readonly seed: number;
    readonly cause: string;
}

export const regressionSeeds: readonly RegressionSeed[] = [];
