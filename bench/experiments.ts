import { configuration } from "./configuration/configuration";
import { decisionsExperiment } from "./decisions";
import type { Experiment } from "./experiment";
import { moves } from "./fleet/moves";
import { stateCost } from "./fleet/stateCost";
import { waves } from "./fleet/waves";
import { limitsExperiment, limitsSchedulesExperiment } from "./limits";
import { modelExperiment } from "./model";
import { onceExperiment } from "./once/onceExperiment";
import { overheadExperiment } from "./overhead";
import { overloadExperiment } from "./overload";
import { declaredTasksExperiment, planningExperiment } from "./planning";
import { schedules } from "./schedules/schedules";
import { sharesExperiment } from "./shares";
import { soak } from "./soak/soak";

/** Every experiment, in the order of `npm run bench -- all`. */
export const experiments: readonly Experiment[] = [
    limitsExperiment,
    limitsSchedulesExperiment,
    sharesExperiment,
    overloadExperiment,
    overheadExperiment,
    decisionsExperiment,
    planningExperiment,
    declaredTasksExperiment,
    modelExperiment,
    configuration,
    soak,
    schedules,
    onceExperiment,
    moves,
    waves,
    stateCost,
];
