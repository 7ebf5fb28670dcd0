import { measureServedBySize, type ServedSize } from "../../src/logs";
import type { ModelSubmission } from "./createArrivals";
import type { ModelFleet } from "./drawFleet";

/** What a day of the model came to. */
export interface ModelResult {
    /** Share of what all submissions could earn. */
    readonly earnedShare: number;
    /** The same in the two worst windows. */
    readonly worstWindows: number;
    /** Machines in pools and moves, as a share of what could be earned. */
    readonly prices: number;
    readonly worth: number;
    readonly machineSeconds: number;
    readonly moves: number;
    /** Busy part of the processors of machines in pools. */
    readonly busyShare: number;
    /** What was served in each pool, by the size of submissions. */
    readonly served: readonly ServedSize[];
}

export interface DayLog {
    readonly fleet: ModelFleet;
    readonly arrivals: readonly ModelSubmission[];
    readonly completedAtMs: ReadonlyMap<string, number>;
    readonly machineMs: number;
    readonly moves: number;
    readonly workedCoreMs: number;
}

const stretch = 1.6;
const targetLatencyMs = 600;
/** Up to this many times the target a late submission earns a little. */
const lateTargets = 3;
const lateEarns = 0.07;
const windowMs = 2000;
const countedWindows = 2;
/** Fewer submissions than this make no window. */
const leastInWindow = 5;

/** Weights of the whole day and of the worst windows. */
const dayWeight = 0.6;
const windowsWeight = 0.4;

/** Price of the machine-seconds that the day's work needs at full use, as a share of what can be earned. */
const priceOfFullUse = 0.07;
/** A move costs as much as this time of a machine in a pool, in milliseconds. */
const moveCostsMs = 1150;

/** Judges a day as operators do: what callers got in time over the day and in its worst seconds, less what was paid. */
export function scoreDay(log: DayLog): ModelResult {
    const { fleet, arrivals, machineMs, moves, workedCoreMs } = log;
    const counted = arrivals.filter(({ workCoreMs }) => workCoreMs > 0);
    const meanWork = counted.reduce((sum, { workCoreMs }) => sum + workCoreMs, 0) / Math.max(1, counted.length);
    const windows = new Map<number, { owed: number; earned: number; count: number; }>();
    let [owed, earned] = [0, 0];
    for (const arrival of counted) {
        const weight = Math.min(4, 0.3 + 0.7 * arrival.workCoreMs / meanWork);
        const gain = weight * earnedPart(arrival, log.completedAtMs.get(arrival.submission.id));
        const at = Math.floor(arrival.atMs / windowMs);
        const window = windows.get(at) ?? { owed: 0, earned: 0, count: 0 };
        windows.set(at, { owed: window.owed + weight, earned: window.earned + gain, count: window.count + 1 });
        owed += weight;
        earned += gain;
    }
    const worst = [...windows.values()].filter(({ count }) => count >= leastInWindow)
        .map((window) => window.earned / window.owed).sort((a, b) => a - b).slice(0, countedWindows);
    const worstWindows = worst.reduce((sum, share) => sum + share, 0) / Math.max(1, worst.length);
    const neededMs = counted.reduce((sum, { workCoreMs }) => sum + workCoreMs, 0) / fleet.cores;
    const prices = priceOfFullUse * (machineMs + moveCostsMs * moves) / neededMs;
    const earnedShare = earned / owed;
    return {
        earnedShare,
        worstWindows,
        prices,
        worth: dayWeight * earnedShare + windowsWeight * worstWindows - prices,
        machineSeconds: machineMs / 1000,
        moves,
        busyShare: workedCoreMs / (machineMs * fleet.cores),
        served: measureServedBySize(counted.map((arrival) => {
            const part = earnedPart(arrival, log.completedAtMs.get(arrival.submission.id));
            const { workCoreMs, submission: { route: queue } } = arrival;
            return { queue, workCoreMs, isServed: part > 0, isInTime: part === 1 };
        })),
    };
}

function earnedPart({ taskMs, atMs }: ModelSubmission, completedAtMs: number | undefined): number {
    if (completedAtMs === undefined) {
        return 0;
    }
    const chainMs = taskMs.reduce((sum, step) => sum + Math.max(...step), 0);
    const targetMs = targetLatencyMs + stretch * chainMs;
    const ageMs = completedAtMs - atMs;
    return ageMs <= targetMs ? 1 : ageMs <= lateTargets * targetMs ? lateEarns : 0;
}
