/** Typed log events, and the reporter that writes them as JSON lines. */
export {
    type BufferedReporter,
    createBufferedReporter,
    createReporter,
    type Reporter,
    type ReporterOptions,
} from "./createReporter";
export type { DropEvidence, FailedReadAttempt, LimitView, LogEvent } from "./logEvent";
