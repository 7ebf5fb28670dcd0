import { type LogLine, logSeconds as seconds } from "./readLogLines";

/**
 * Machine time of a pool in seconds: machines that were empty, that ran only long-running tasks, or that worked.
 * `coreS` and `usedCoreS` are the seconds of all cores and of the cores in use.
 */
export interface PoolTime {
    emptyS: number;
    stayingS: number;
    workingS: number;
    coreS: number;
    usedCoreS: number;
}

/** Number of machines that got work promptly after they had joined a pool, later, or never. */
export interface JoinedMachines {
    prompt: number;
    later: number;
    never: number;
}

/** A period without a leader, or with a leader that made no decisions. */
export interface Vacancy {
    readonly until: string;
    readonly lastedS: number;
    /** Why the next leader gained leadership. */
    readonly reason: string;
}

/** Use of machine time according to the logs of all entries. */
export interface MachineTime {
    readonly pools: ReadonlyMap<string, PoolTime>;
    readonly joined: JoinedMachines;
    readonly vacancies: readonly Vacancy[];
}

export function sumMachineTime(lines: readonly LogLine[]): MachineTime {
    return { pools: sumPools(lines), joined: countJoined(lines), vacancies: listLeaderlessPeriods(lines) };
}

/** Leaders log a line each second. A longer gap is not counted: no leader decided, and nothing is known of it. */
const maxGapS = 3;

/** A move was worthwhile if the machine has work within this many seconds after it joined. */
export const promptS = 1;

function sumPools(lines: readonly LogLine[]): ReadonlyMap<string, PoolTime> {
    const pools = new Map<string, PoolTime>();
    const previousLines = new Map<string, LogLine>();
    for (const line of lines.filter(({ message }) => message === "room")) {
        const pool = String(line["pool"]);
        const previous = previousLines.get(pool);
        previousLines.set(pool, line);
        const gapS = previous === undefined ? 0 : seconds(line) - seconds(previous);
        if (previous === undefined || gapS > maxGapS) {
            continue;
        }
        const sum = pools.get(pool) ?? { emptyS: 0, stayingS: 0, workingS: 0, coreS: 0, usedCoreS: 0 };
        pools.set(pool, sum);
        const [workers, empty, longRunningOnly] = ["workers", "emptyWorkers", "stayingWorkers"].map((name) =>
            Number(previous[name])
        );
        sum.emptyS += gapS * (empty ?? 0);
        sum.stayingS += gapS * (longRunningOnly ?? 0);
        sum.workingS += gapS * ((workers ?? 0) - (empty ?? 0) - (longRunningOnly ?? 0));
        sum.coreS += gapS * Number(previous["cores"]);
        sum.usedCoreS += gapS * (Number(previous["shortCores"]) + Number(previous["longRunningCores"]));
    }
    return pools;
}

function countJoined(lines: readonly LogLine[]): JoinedMachines {
    const firstStartS = new Map<string, number>();
    for (const line of lines.filter(({ message, order }) => message === "order" && order === "start")) {
        const worker = String(line.worker);
        firstStartS.set(worker, firstStartS.get(worker) ?? seconds(line));
    }
    const orderedMachines = new Set(
        lines.filter(({ message }) => message === "machineOrder").map(({ machine }) => machine),
    );
    const counts = { prompt: 0, later: 0, never: 0 };
    for (const line of lines.filter(({ message, state }) => message === "machine" && state === "up")) {
        if (!orderedMachines.has(line["machine"]) || line.worker === "") {
            continue;
        }
        const startS = firstStartS.get(String(line.worker));
        counts[startS === undefined ? "never" : startS - seconds(line) <= promptS ? "prompt" : "later"]++;
    }
    return counts;
}

/** Periods from the loss of leadership, or from the leader's last line, to the next gain of leadership. */
function listLeaderlessPeriods(lines: readonly LogLine[]): readonly Vacancy[] {
    const periods: Vacancy[] = [];
    let last: LogLine | undefined;
    for (const line of lines.filter(({ message }) => message === "duty" || message === "room")) {
        if (line.message === "duty" && line["change"] === "gained" && last !== undefined) {
            const lastedS = seconds(line) - seconds(last);
            periods.push({ until: line.timestamp, lastedS, reason: String(line["reason"]) });
        }
        last = line;
    }
    return periods;
}
