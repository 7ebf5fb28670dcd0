import { type LogLine, logSeconds as seconds } from "./readLogLines";

/** Machine time of a pool, by what its machines did. */
export interface PoolTime {
    emptyS: number;
    stayingS: number;
    workingS: number;
    coreS: number;
    usedCoreS: number;
}

/** How many machines that joined a pool found work at once, later, or never. */
export interface JoinedMachines {
    prompt: number;
    later: number;
    never: number;
}

/** A time without an owner, or without one that decided. */
export interface Vacancy {
    readonly until: string;
    readonly lastedS: number;
    /** Why the next owner gained the duty. */
    readonly reason: string;
}

/** Where machine time went, by the logs of all entries. */
export interface MachineTime {
    readonly pools: ReadonlyMap<string, PoolTime>;
    readonly joined: JoinedMachines;
    readonly vacancies: readonly Vacancy[];
}

export function sumMachineTime(lines: readonly LogLine[]): MachineTime {
    return { pools: sumPools(lines), joined: countJoined(lines), vacancies: listVacancies(lines) };
}

/** A line each second is expected; across a longer gap nobody decided, and nothing is known. */
const longestGapS = 3;

/** A machine that has work this soon after it joined was worth its move, in seconds. */
export const promptS = 1;

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

function countJoined(lines: readonly LogLine[]): JoinedMachines {
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

/** Between the loss of the duty, or the last line of its holder, and its next gain. */
function listVacancies(lines: readonly LogLine[]): readonly Vacancy[] {
    const gaps: Vacancy[] = [];
    let last: LogLine | undefined;
    for (const line of lines.filter(({ message }) => message === "duty" || message === "room")) {
        if (line.message === "duty" && line["change"] === "gained" && last !== undefined) {
            const lastedS = seconds(line) - seconds(last);
            gaps.push({ until: line.timestamp, lastedS, reason: String(line["reason"]) });
        }
        last = line;
    }
    return gaps;
}
