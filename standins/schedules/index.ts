/** Seeded schedules of submissions, cancellations and faults for the scheduling world, and their judge. */
export { createSchedule } from "./createSchedule";
export type { Violation } from "./judgeRun";
export type { Defect } from "./plantDefect";
export { runSchedule, type ScheduleResult } from "./runSchedule";
export type { Act, Schedule } from "./schedule";
export { type SearchResult, searchSchedules } from "./searchSchedules";
