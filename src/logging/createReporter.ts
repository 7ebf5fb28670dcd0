import { createLogger, format, transports } from "winston";
import { createLineSink, type LineSink } from "./createLineSink";
import type { LogEvent } from "./logEvent";

export interface ReporterOptions {
    readonly level: string;
    /** Fields that every line carries, such as the boot and the zone. */
    readonly fields: Readonly<Record<string, string>>;
}

/** Takes typed events and renders them. */
export type Reporter = (event: LogEvent) => void;

/** A reporter over a sink that can be looked at and emptied. */
export interface BufferedReporter {
    readonly report: Reporter;
    readonly sink: LineSink;
}

/**
 * Lines of one kind a second. At the peak of a turn an owner of today's size decides about 150 starts a second and takes
 * in as many ends; above that the lines of a second are a sample.
 */
const linesPerSecond = 300;

/** Lines that are never left out: without them a failed request can't be explained. */
const unboundedKinds = new Set([
    "duty",
    "dependency",
    "machineOrder",
    "workerEnded",
    "runReappeared",
    "configurationApplied",
    "evacuation",
    "started",
]);

/** Writes each event as one JSON line to standard output, in groups and within a budget. */
export function createBufferedReporter(opts: ReporterOptions): BufferedReporter {
    const sink = createLineSink({
        output: process.stdout,
        linesPerSecond,
        isUnbounded: (kind) => unboundedKinds.has(kind),
    });
    const logger = createLogger({
        level: opts.level,
        defaultMeta: opts.fields,
        // The library's own rendering sorts the fields of each line, which takes twice the time of all the rest.
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
