/** Analysis of the entries' logs: the timeline of one submission, the use of machine time, the summary of a day. */
export { explainSubmission, renderLogLine, type SubmissionTimeline } from "./explainSubmission";
export {
    listSizedSubmissions,
    measureServedBySize,
    type ServedSize,
    type SizedSubmission,
} from "./measureServedBySize";
export { type LogLine, readLogLines } from "./readLogLines";
export { renderDaySvg } from "./renderDaySvg";
export { type MachineTime, promptStartMaxS, sumMachineTime } from "./sumMachineTime";
export { type DaySummary, summarizeDay } from "./summarizeDay";
