import type { Experiment } from "./experiment";

/** Every experiment, in the order of `npm run bench -- all`. */
export const experiments: readonly Experiment[] = [];
