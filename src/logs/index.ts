/** What the entries' logs tell afterwards: of one submission, of machine time, of a whole day. */
export { drawDay } from "./drawDay";
export { explainSubmission, renderLogLine, type SubmissionStory } from "./explainSubmission";
export { type LogLine, readLogLines } from "./readLogLines";
export { type MachineTime, promptS, sumMachineTime } from "./sumMachineTime";
export { type DayTrace, traceDay } from "./traceDay";
