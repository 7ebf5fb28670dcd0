import { createLogger, format, transports } from "winston";
import type { LogEvent } from "./logEvent";

export interface ReporterOptions {
    readonly level: string;
    /** Fields that every line carries, such as the boot and the zone. */
    readonly fields: Readonly<Record<string, string>>;
}

/** Takes typed events and renders them. */
export type Reporter = (event: LogEvent) => void;

/** Writes each event as one JSON line to standard output. */
export function createReporter(opts: ReporterOptions): Reporter {
    const logger = createLogger({
        level: opts.level,
        defaultMeta: opts.fields,
        format: format.combine(format.timestamp(), format.json()),
        transports: [new transports.Console()],
    });
    return ({ kind, ...fields }) => {
        logger.info(kind, fields);
    };
}
