import { createLogger, format, transports } from "winston";
import { createLineSink, type LineSink } from "./createLineSink";
import type { LogEvent } from "./logEvent";

export interface ReporterOptions {
    readonly level: string;
    /** Fields added to every line, such as the boot and the zone. */
    readonly fields: Readonly<Record<string, string>>;
}

/** Writes a typed event to the log. */
export type Reporter = (event: LogEvent) => void;

/** A reporter together with its sink, which callers can flush and whose dropped lines they can read. */
export interface BufferedReporter {
    readonly report: Reporter;
    readonly sink: LineSink;
}

/**
 * Rate limit for lines of one kind. At peak load, the leader of a fleet of the present size decides about 150 starts
 * per second and receives as many ends. Above the limit, the lines of a second are a sample.
 */
const linesPerSecond = 300;

/** Kinds that are never dropped: without them a failed request cannot be explained. */
const exemptKinds = new Set([
    "duty",
    "dependency",
    "machineOrder",
    "workerEnded",
    "runReappeared",
    "configurationApplied",
    "evacuation",
    "started",
]);

/** Writes each event as one JSON line to standard output, in batches and within a rate limit. */
export function createBufferedReporter(opts: ReporterOptions): BufferedReporter {
    const sink = createLineSink({
        output: process.stdout,
        linesPerSecond,
        isUnbounded: (kind) => exemptKinds.has(kind),
    });
    const logger = createLogger({
        level: opts.level,
        defaultMeta: opts.fields,
        // winston's own JSON format sorts the fields of each line, which takes twice as long as all the rest together.
        format: format.combine(format.timestamp(), format.printf((line) => JSON.stringify(line))),
        transports: [new transports.Stream({ stream: sink.stream })],
    });
    process.once("exit", sink.flush);
    return {
        report({ kind, ...fields }) {
            if (sink.take(kind)) {
                logger.info(kind, fields);
            }
        },
        sink,
    };
}

/** Writes each event as one JSON line to standard output. */
export function createReporter(opts: ReporterOptions): Reporter {
    return createBufferedReporter(opts).report;
}
