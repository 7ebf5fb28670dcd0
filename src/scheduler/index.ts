/** The work of the scheduling leader during one tenure. */
export { createCompetition } from "./createCompetition";
export { createConsolidator } from "./createConsolidator";
export { createFleetController } from "./createFleetController";
export { createScheduler } from "./createScheduler";
export { createStandbyCopy, type StandbyCopy, type StateCopy } from "./createStandbyCopy";
export { type BacklogOptions, measureBacklog } from "./measureBacklog";
export { measureDemand } from "./measureDemand";
export { restoreProgress } from "./restoreProgress";
export type { Scheduler, SchedulerBounds } from "./scheduler";
export type { WorkerDecoder, WorkerRegistration } from "./workerRegistration";
