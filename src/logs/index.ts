/** Analysis of the entries' logs: the timeline of one submission, the use of machine time, the summary of a day. */
export { drawDay } from "./drawDay";
export { explainSubmission, renderLogLine, type SubmissionStory } from "./explainSubmission";
export { type LogLine, readLogLines } from "./readLogLines";
export { type MachineTime, promptS, sumMachineTime } from "./sumMachineTime";
export { type DayTrace, traceDay } from "./traceDay";
