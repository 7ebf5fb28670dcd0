/** Time of a round of planning over the size of the fleet, of what waits and of what is declared. */
export { declaredTasksExperiment } from "./declaredTasksExperiment";
export { planningExperiment } from "./planningExperiment";
