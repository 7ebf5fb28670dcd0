/** Entries with their executors, workers and the platform on a paused clock, with a judge of the promises. */
export { createFleetModel, type FleetModel, type ModelEntry, type ModelOptions } from "./createFleetModel";
export { type PropertyResult, runPlanProperty } from "./runPlanProperty";
export { startSender } from "./startSender";
