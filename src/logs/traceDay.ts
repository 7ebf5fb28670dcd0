import { type LogLine, logSeconds } from "./readLogLines";

/** Figures over time, one for each second. */
export interface Trace {
    readonly name: string;
    /** Pairs of seconds since the first line, and the value. */
    readonly points: readonly (readonly [number, number])[];
}

/** Something that began, ended or was lost. */
export interface DayEvent {
    readonly atS: number;
    readonly text: string;
}

/** A day at a glance: what came, what waited, what machines did, and what went wrong. */
export interface DayTrace {
    readonly traces: readonly Trace[];
    readonly events: readonly DayEvent[];
}

/** Fields of a pool's line each second, and the traces that they make. */
const poolFields = {
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
    const secondsOf = (line: LogLine) => logSeconds(line) - logSeconds(first);
    return {
        traces: [...traceArrivals(lines, secondsOf), ...tracePools(lines, secondsOf)],
        events: lines.flatMap((line) => describeEvent(line, secondsOf(line))),
    };
}

type SecondsOf = (line: LogLine) => number;

function traceArrivals(lines: readonly LogLine[], secondsOf: SecondsOf): readonly Trace[] {
    const counts = new Map<string, Map<number, number>>();
    for (const line of lines) {
        if (line.message === "submission" && line["change"] === "taken") {
            const route = String(line["route"]);
            const second = Math.floor(secondsOf(line));
            const bySecond = counts.get(route) ?? new Map<number, number>();
            counts.set(route, bySecond.set(second, (bySecond.get(second) ?? 0) + 1));
        }
    }
    return [...counts].map(([route, bySecond]) => ({
        name: `submissions a second: ${route}`,
        points: [...bySecond].sort(([a], [b]) => a - b),
    }));
}

function tracePools(lines: readonly LogLine[], secondsOf: SecondsOf): readonly Trace[] {
    const rooms = lines.filter(({ message }) => message === "room");
    const pools = [...new Set(rooms.map((line) => String(line["pool"])))];
    return Object.entries(poolFields).flatMap(([name, field]) =>
        pools.map((pool) => ({
            name: `${name}: ${pool}`,
            points: rooms.filter((line) => line["pool"] === pool)
                .map((line) => [secondsOf(line), Number(line[field])] as const),
        }))
    );
}

/** Each entry tells of an evacuation or a lost store; the first line of a change is the event. */
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
