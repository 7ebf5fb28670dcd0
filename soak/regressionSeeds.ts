/** A seed that once broke a promise; it is played before fresh ones. */
export interface RegressionSeed {
    readonly seed: number;
    readonly cause: string;
}

const leaseTakenForOver =
    "a new owner took a worker's leases for over by the clock that the answer to a stop had shown";

export const regressionSeeds: readonly RegressionSeed[] = [
    { seed: 5306, cause: leaseTakenForOver },
    { seed: 5323, cause: leaseTakenForOver },
];
