import { type LogLine, logSeconds } from "./readLogLines";

/** Values over time, one per second. */
export interface Trace {
    readonly name: string;
    /** Pairs of the time in seconds since the first line and the value. */
    readonly points: readonly (readonly [number, number])[];
}

/** A change of leadership, an evacuation, or the loss or recovery of the store. */
export interface DayEvent {
    readonly atS: number;
    readonly text: string;
}

/** Summary of a day: arrivals, waiting work, use of machines, and failures. */
export interface DayTrace {
    readonly traces: readonly Trace[];
    readonly events: readonly DayEvent[];
}

/** Names of the time series of a pool, and the fields that they are read from in its line of each second. */
const poolSeries = {
    "cores that wait": "waitingCores",
    "cores needed": "neededCores",
    "cores of the pool": "cores",
    "machines empty": "emptyWorkers",
    "machines with lasting tasks alone": "stayingWorkers",
} as const;

export function traceDay(lines: readonly LogLine[]): DayTrace {
    const [first] = lines;
    if (first === undefined) {
        return { traces: [], events: [] };
    }
    const elapsedS = (line: LogLine) => logSeconds(line) - logSeconds(first);
    return {
        traces: [...summarizeArrivals(lines, elapsedS), ...summarizePools(lines, elapsedS)],
        events: lines.flatMap((line) => describeEvent(line, elapsedS(line))),
    };
}

type ElapsedS = (line: LogLine) => number;

function summarizeArrivals(lines: readonly LogLine[], elapsedS: ElapsedS): readonly Trace[] {
    const counts = new Map<string, Map<number, number>>();
    for (const line of lines) {
        if (line.message === "submission" && line["change"] === "taken") {
            const queue = String(line["route"]);
            const second = Math.floor(elapsedS(line));
            const bySecond = counts.get(queue) ?? new Map<number, number>();
            counts.set(queue, bySecond.set(second, (bySecond.get(second) ?? 0) + 1));
        }
    }
    return [...counts].map(([queue, bySecond]) => ({
        name: `submissions a second: ${queue}`,
        points: [...bySecond].sort(([a], [b]) => a - b),
    }));
}

function summarizePools(lines: readonly LogLine[], elapsedS: ElapsedS): readonly Trace[] {
    const poolLines = lines.filter(({ message }) => message === "room");
    const pools = [...new Set(poolLines.map((line) => String(line["pool"])))];
    return Object.entries(poolSeries).flatMap(([name, field]) =>
        pools.map((pool) => ({
            name: `${name}: ${pool}`,
            points: poolLines.filter((line) => line["pool"] === pool)
                .map((line) => [elapsedS(line), Number(line[field])] as const),
        }))
    );
}

/** Every entry logs evacuations and losses of the store, so one change gives one event per entry. */
function describeEvent(line: LogLine, atS: number): readonly DayEvent[] {
    switch (line.message) {
        case "duty":
            return [{
                atS,
                text: `duty ${String(line["change"])} by ${line.instance ?? ""} (${String(line["reason"])})`,
            }];
        case "evacuation":
            return [{
                atS,
                text: `evacuation of ${String(line["zone"])} ${String(line["change"])}, ${line.instance ?? ""}`,
            }];
        case "dependency":
            return line.name === "store"
                ? [{ atS, text: `store ${String(line["state"])} for ${line.instance ?? ""}` }]
                : [];
        default:
            return [];
    }
}
