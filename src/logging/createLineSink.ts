import { Writable } from "node:stream";

export interface LineSinkOptions {
    /** Where lines are written. A pipe without a reader must not block the process. */
    readonly output: Writable;
    /** Lines of one kind accepted per second; further lines are dropped and counted. */
    readonly linesPerSecond: number;
    /** Whether a kind is exempt from the rate limit, such as changes of leadership. */
    readonly isExempt: (kind: string) => boolean;
}

/** Buffers complete lines and writes them in batches. */
export interface LineSink {
    /** Counts one line against the rate limit of its kind. Returns false if the line must be dropped. */
    tryAcquire(kind: string): boolean;
    readonly stream: Writable;
    /** Number of lines dropped since the start. */
    droppedLines(): number;
    flush(): void;
    close(): void;
}

/** How long lines are buffered before they are written, in milliseconds; each write is a system call. */
const flushIntervalMs = 100;

/** Maximum of buffered bytes while the reader has stopped reading; lines above it are dropped and counted. */
const maxBufferedBytes = 256 * 1024;

/**
 * Creates a sink that buffers log lines and limits their rate.
 *
 * At full load the daemon logs hundreds of lines per second, and the reader of the pipe may stop. Writing lines one by
 * one costs more than making the decisions that they report. Without a limit, buffered lines fill the memory until the
 * process is killed, or writes block the process. The sink therefore writes lines in batches, limits each kind per
 * second, and logs the number of dropped lines in a line of its own. Each write holds whole lines and is small enough
 * that a pipe accepts it in one piece.
 */
export function createLineSink(opts: LineSinkOptions): LineSink {
    let buffered: string[] = [];
    let bufferedBytes = 0;
    let droppedTotal = 0;
    let reportedTotal = 0;
    let isBlocked = false;
    let counts = new Map<string, number>();
    opts.output.on("drain", () => isBlocked = false);

    function flush(): void {
        if (droppedTotal > reportedTotal) {
            const line = { level: "info", message: "linesDropped", lines: droppedTotal - reportedTotal };
            buffered.push(`${JSON.stringify({ ...line, timestamp: new Date().toISOString() })}\n`);
            reportedTotal = droppedTotal;
        }
        if (buffered.length > 0 && !isBlocked) {
            for (const block of toBlocks(buffered)) {
                isBlocked = !opts.output.write(block);
            }
            buffered = [];
            bufferedBytes = 0;
        }
    }

    const flushTimer = setInterval(flush, flushIntervalMs);
    const rateLimitTimer = setInterval(() => counts = new Map(), 1000);
    flushTimer.unref();
    rateLimitTimer.unref();

    return {
        tryAcquire(kind) {
            const count = (counts.get(kind) ?? 0) + 1;
            counts.set(kind, count);
            const isAccepted = opts.isExempt(kind) || count <= opts.linesPerSecond;
            droppedTotal += isAccepted ? 0 : 1;
            return isAccepted;
        },
        stream: new Writable({
            decodeStrings: false,
            write(line: string | Buffer, _encoding, done) {
                if (bufferedBytes + line.length > maxBufferedBytes) {
                    droppedTotal++;
                }
                else {
                    buffered.push(String(line));
                    bufferedBytes += line.length;
                }
                done();
            },
        }),
        droppedLines: () => droppedTotal,
        flush,
        close() {
            clearInterval(flushTimer);
            clearInterval(rateLimitTimer);
            flush();
        },
    };
}

/** Largest atomic write to a pipe, in bytes: a write up to this size is neither interleaved with others nor split. */
const maxBlockBytes = 4096;

/** Joins whole lines into blocks that a pipe accepts in one write. */
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
