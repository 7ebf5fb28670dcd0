import { type LogLine, readLogLines } from "./readLogLines";

/**
 * Tells where machine time went, from the logs of all entries:
 *
 *     npm run machine-time -- LOG...
 */

interface PoolTime {
    emptyS: number;
    stayingS: number;
    workingS: number;
    coreS: number;
    usedCoreS: number;
}

/** A line each second is expected; across a longer gap nobody decided, and nothing is known. */
const longestGapS = 3;

/** A machine that has work this soon after it joined was worth its move, in seconds. */
const promptS = 1;

function seconds({ timestamp }: LogLine): number {
    return Date.parse(timestamp) / 1000;
}

function sumPools(lines: readonly LogLine[]): ReadonlyMap<string, PoolTime> {
    const pools = new Map<string, PoolTime>();
    const last = new Map<string, LogLine>();
    for (const line of lines.filter(({ message }) => message === "room")) {
        const pool = String(line["pool"]);
        const before = last.get(pool);
        last.set(pool, line);
        const gapS = before === undefined ? 0 : seconds(line) - seconds(before);
        if (before === undefined || gapS > longestGapS) {
            continue;
        }
        const sum = pools.get(pool) ?? { emptyS: 0, stayingS: 0, workingS: 0, coreS: 0, usedCoreS: 0 };
        pools.set(pool, sum);
        const [workers, empty, staying] = ["workers", "emptyWorkers", "stayingWorkers"].map((name) =>
            Number(before[name])
        );
        sum.emptyS += gapS * (empty ?? 0);
        sum.stayingS += gapS * (staying ?? 0);
        sum.workingS += gapS * ((workers ?? 0) - (empty ?? 0) - (staying ?? 0));
        sum.coreS += gapS * Number(before["cores"]);
        sum.usedCoreS += gapS * (Number(before["shortCores"]) + Number(before["longRunningCores"]));
    }
    return pools;
}

/** How many machines that joined a pool found work at once, later, or never. */
function countJoined(lines: readonly LogLine[]): { prompt: number; later: number; never: number; } {
    const firstStartS = new Map<string, number>();
    for (const line of lines.filter(({ message, order }) => message === "order" && order === "start")) {
        const worker = String(line.worker);
        firstStartS.set(worker, firstStartS.get(worker) ?? seconds(line));
    }
    const ordered = new Set(lines.filter(({ message }) => message === "machineOrder").map(({ machine }) => machine));
    const counts = { prompt: 0, later: 0, never: 0 };
    for (const line of lines.filter(({ message, state }) => message === "machine" && state === "up")) {
        if (!ordered.has(line["machine"]) || line.worker === "") {
            continue;
        }
        const startS = firstStartS.get(String(line.worker));
        counts[startS === undefined ? "never" : startS - seconds(line) <= promptS ? "prompt" : "later"]++;
    }
    return counts;
}

/** Seconds between the loss of the duty, or the last line of its holder, and its next gain. */
function listVacancies(lines: readonly LogLine[]): readonly string[] {
    const gaps: string[] = [];
    let last: LogLine | undefined;
    for (const line of lines.filter(({ message }) => message === "duty" || message === "room")) {
        if (line.message === "duty" && line["change"] === "gained" && last !== undefined) {
            gaps.push(`${line.timestamp} ${(seconds(line) - seconds(last)).toFixed(2)} s (${String(line["reason"])})`);
        }
        last = line;
    }
    return gaps;
}

async function main(files: readonly string[]): Promise<void> {
    const lines = await readLogLines(files);
    process.stdout.write("pool        empty s  staying s  working s  processors used\n");
    for (const [pool, { emptyS, stayingS, workingS, coreS, usedCoreS }] of sumPools(lines)) {
        const figures = [emptyS, stayingS, workingS].map((each) => each.toFixed(0).padStart(9)).join("  ");
        process.stdout.write(`${pool.padEnd(10)}${figures}  ${(100 * usedCoreS / Math.max(1, coreS)).toFixed(0)}%\n`);
    }
    const { prompt, later, never } = countJoined(lines);
    process.stdout.write(
        `machines that joined: ${prompt} found work within ${promptS} s, ${later} later, ${never} none\n`,
    );
    process.stdout.write(`without an owner:\n${listVacancies(lines).map((gap) => `  ${gap}\n`).join("")}`);
}

void main(process.argv.slice(2));
