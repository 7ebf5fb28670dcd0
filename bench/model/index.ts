export { type ModelFleet, usualFleets } from "./drawFleet";
export { modelExperiment } from "./modelExperiment";
export type { ModelResult } from "./scoreDay";
export { simulateFleet } from "./simulateFleet";
