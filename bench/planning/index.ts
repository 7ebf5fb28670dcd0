/** Time of a round of planning over the size of the fleet and of what waits. */
export { planningExperiment } from "./planningExperiment";
