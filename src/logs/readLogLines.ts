import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";

/** One structured log line of an entry. */
export interface LogLine {
    readonly timestamp: string;
    readonly message: string;
    readonly instance?: string;
    readonly worker?: string;
    readonly name?: string;
    readonly [field: string]: unknown;
}

/** Reads the log lines of files in chronological order. Lines that cannot be parsed are skipped and named on stderr. */
export async function readLogLines(files: readonly string[]): Promise<readonly LogLine[]> {
    return sortByTime((await Promise.all(files.map(readFile))).flat());
}

/** Time at which a line was written, in seconds since 1970. */
export function logSeconds({ timestamp }: LogLine): number {
    return Date.parse(timestamp) / 1000;
}

export function sortByTime(lines: readonly LogLine[]): readonly LogLine[] {
    return [...lines].sort((a, b) => a.timestamp < b.timestamp ? -1 : 1);
}

async function readFile(file: string): Promise<readonly LogLine[]> {
    const lines: LogLine[] = [];
    for await (const text of createInterface({ input: createReadStream(file) })) {
        // Log collectors put their own prefix before the JSON of a line.
        const at = text.indexOf("{");
        try {
            if (at >= 0) {
                lines.push(JSON.parse(text.slice(at)) as LogLine);
            }
        }
        catch {
            process.stderr.write(`skipped, not a log line: ${text.slice(0, 80)}\n`);
        }
    }
    return lines;
}
