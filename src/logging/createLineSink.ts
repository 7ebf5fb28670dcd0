import { Writable } from "node:stream";

export interface LineSinkOptions {
    /** Where the lines go; a pipe that nobody reads must not hold the process up. */
    readonly output: Writable;
    /** Lines of one kind that are taken each second; the others are counted. */
    readonly linesPerSecond: number;
    /** Kinds that have no such bound of their own, such as refusals. */
    readonly isUnbounded: (kind: string) => boolean;
}

/** Takes finished lines and writes them in groups. */
export interface LineSink {
    /** Gives false where the line was left out. */
    take(kind: string): boolean;
    readonly stream: Writable;
    /** Lines left out since the start. */
    dropped(): number;
    flush(): void;
    close(): void;
}

/** How long lines are gathered before they are written, in milliseconds; each write is a system call. */
const gatherMs = 100;

/** Bytes that may wait for a reader that has stopped reading; what comes beyond is dropped and counted. */
const maxWaitingBytes = 256 * 1024;

/**
 * Gathers log lines and bounds them.
 *
 * A day at full load makes hundreds of lines a second, and a reader of the pipe may stop. Written one by one they cost
 * more than the decisions they tell of; written without a bound they fill the memory until the process is killed, or
 * block it. So lines are written in groups, each kind has a budget a second, and what is left out is counted in a line.
 * Each write holds whole lines and is small enough that a pipe takes it at once.
 */
export function createLineSink(opts: LineSinkOptions): LineSink {
    let gathered: string[] = [];
    let gatheredBytes = 0;
    let droppedCount = 0;
    let reportedCount = 0;
    let isBlocked = false;
    let counts = new Map<string, number>();
    opts.output.on("drain", () => isBlocked = false);

    function flush(): void {
        if (droppedCount > reportedCount) {
            const line = { level: "info", message: "linesDropped", lines: droppedCount - reportedCount };
            gathered.push(`${JSON.stringify({ ...line, timestamp: new Date().toISOString() })}\n`);
            reportedCount = droppedCount;
        }
        if (gathered.length > 0 && !isBlocked) {
            for (const block of toBlocks(gathered)) {
                isBlocked = !opts.output.write(block);
            }
            gathered = [];
            gatheredBytes = 0;
        }
    }

    const flushTimer = setInterval(flush, gatherMs);
    const budgetTimer = setInterval(() => counts = new Map(), 1000);
    flushTimer.unref();
    budgetTimer.unref();

    return {
        take(kind) {
            const count = (counts.get(kind) ?? 0) + 1;
            counts.set(kind, count);
            const isTaken = opts.isUnbounded(kind) || count <= opts.linesPerSecond;
            droppedCount += isTaken ? 0 : 1;
            return isTaken;
        },
        stream: new Writable({
            decodeStrings: false,
            write(line: string | Buffer, _encoding, done) {
                if (gatheredBytes + line.length > maxWaitingBytes) {
                    droppedCount++;
                }
                else {
                    gathered.push(String(line));
                    gatheredBytes += line.length;
                }
                done();
            },
        }),
        dropped: () => droppedCount,
        flush,
        close() {
            clearInterval(flushTimer);
            clearInterval(budgetTimer);
            flush();
        },
    };
}

/** Bytes that a pipe takes at once: a write of at most this many is not mixed with others and not cut. */
const maxBlockBytes = 4096;

/** Joins whole lines to blocks that a pipe takes at once. */
function toBlocks(lines: readonly string[]): readonly string[] {
    const blocks: string[] = [];
    let block = "";
    for (const line of lines) {
        if (block !== "" && block.length + line.length > maxBlockBytes) {
            blocks.push(block);
            block = "";
        }
        block += line;
    }
    return block === "" ? blocks : [...blocks, block];
}
