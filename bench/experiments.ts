import type { Experiment } from "./experiment";
import { moves } from "./fleet/moves";
import { stateCost } from "./fleet/stateCost";
import { waves } from "./fleet/waves";
import { onceExperiment } from "./once/onceExperiment";
import { schedules } from "./schedules/schedules";
import { soak } from "./soak/soak";

/** Every experiment, in the order of `npm run bench -- all`. */
export const experiments: readonly Experiment[] = [
    soak,
    schedules,
    onceExperiment,
    moves,
    waves,
    stateCost,
];
