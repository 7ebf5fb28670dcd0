export { modelExperiment } from "./modelExperiment";
