import type { Experiment } from "./experiment";
import { onceExperiment } from "./once/onceExperiment";
import { soak } from "./soak/soak";

/** Every experiment, in the order of `npm run bench -- all`. */
export const experiments: readonly Experiment[] = [
    soak,
    onceExperiment,
];
