/** Goodput and queues from one to five times the capacity. */
export { overloadExperiment } from "./overloadExperiment";
