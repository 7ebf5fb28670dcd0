import { configuration } from "./configuration/configuration";
import type { Experiment } from "./experiment";
import { onceExperiment } from "./once/onceExperiment";
import { schedules } from "./schedules/schedules";
import { soak } from "./soak/soak";

/** Every experiment, in the order of `npm run bench -- all`. */
export const experiments: readonly Experiment[] = [
    configuration,
    soak,
    schedules,
    onceExperiment,
];
