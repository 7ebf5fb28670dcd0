/** What a request through an entry costs more than one straight to a worker. */
export { overheadExperiment } from "./overheadExperiment";
