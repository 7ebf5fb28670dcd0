/** One figure of a run, with its unit in its name, such as `p99Ms`. */
export type Figures = Readonly<Record<string, number>>;

/** One curve over time for the plot. */
export interface Curve {
    readonly name: string;
    /** Pairs of seconds since the start and the value. */
    readonly points: readonly (readonly [number, number])[];
}

/** What one way of doing the work measured, in one setting. */
export interface ExperimentRow {
    /** The setting, such as "association" or "3600 workers". */
    readonly setting: string;
    /** The way: ours, or the name of a baseline of the same run. */
    readonly way: string;
    readonly figures: Figures;
    readonly curves?: readonly Curve[];
}

export interface ExperimentOptions {
    readonly seed: number;
    /** True: a shorter run, for a first look and for tests. */
    readonly isQuick: boolean;
}

/** One experiment of `npm run bench`; each lives in a folder of its own and is listed in `experiments.ts`. */
export interface Experiment {
    readonly name: string;
    /** One line: what is compared, and what the aim is. */
    readonly description: string;
    run(opts: ExperimentOptions): Promise<readonly ExperimentRow[]>;
}
