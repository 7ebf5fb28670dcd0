import {
    addDueOccurrences,
    addSubmission,
    createDurationEstimates,
    planStarts,
    removeRun,
    type SchedulerState,
} from "../../src/schedule";
import { measureHeapBytes } from "../../standins/measureHeapBytes";
import { plainSubmission } from "../../standins/scheduling";
import type { Experiment, ExperimentRow } from "../experiment";
import { createBusyBoard, turnPool } from "./createBusyBoard";

interface Declared {
    readonly count: number;
    /** Occurrences that are due at once; 0 for a submission without a schedule. */
    readonly repeats: number;
}

const submissions: readonly Declared[] = [
    { count: 10, repeats: 0 },
    { count: 1000, repeats: 0 },
    { count: 100_000, repeats: 0 },
    { count: 1_000_000, repeats: 0 },
    { count: 10, repeats: 100_000 },
];

const rounds = { quick: 30, full: 300 };

/** Remaining work is estimated anew after 200 ms; rounds are this far apart, in milliseconds. */
const roundMs = 20;

const timeOfDayMs = 1_000_000_000;

/** Starts of a round. */
const maxStarts = 20;

export const declaredTasksExperiment: Experiment = {
    name: "declared",
    description: "memory and time of a round of planning over the tasks that one submission declares; aim: no growth",
    run({ seed, isQuick }) {
        const count = isQuick ? rounds.quick : rounds.full;
        return Promise.resolve(submissions.map((declared): ExperimentRow => ({
            setting: `${declared.count} tasks${declared.repeats > 0 ? `, due ${declared.repeats} times` : ""}`,
            way: "samphirepin",
            figures: measure(declared, count, seed),
        })));
    },
};

function measure(declared: Declared, count: number, seed: number) {
    const { board, policy } = createBusyBoard(35, 0, 35, seed);
    const beforeBytes = measureHeapBytes();
    addDeclared(board, declared);
    const heapKb = (measureHeapBytes() - beforeBytes) / 1000;
    const estimates = createDurationEstimates();
    let starts = 0;
    let longestMs = 0;
    let tookMs = 0;
    for (let round = 0; round < count; round++) {
        const beganAtMs = performance.now();
        const started = planStarts({
            state: board,
            policy,
            estimates,
            nowMs: round * roundMs,
            timeOfDayMs,
            allowedWorkers: () => undefined,
            maxStarts,
        });
        const roundTookMs = performance.now() - beganAtMs;
        starts += started.length;
        longestMs = Math.max(longestMs, roundTookMs);
        tookMs += roundTookMs;
        // Taken back, each round meets the same load.
        started.forEach((run) => removeRun(board, run, round * roundMs));
    }
    return {
        heapKb: Math.round(heapKb),
        roundMs: toThousandths(tookMs / count),
        longestMs: toThousandths(longestMs),
        startsPerRound: Math.round(starts / count),
    };
}

function addDeclared(board: SchedulerState, { count, repeats }: Declared): void {
    const submission = {
        ...plainSubmission("0000000000000001", [{ count, size: { cpuMillis: 10, memoryMb: 1, accelerators: 0 } }]),
        route: `route-${turnPool}`,
        service: `pool-${turnPool}`,
        schedule: { repeats, startAtMs: 1, intervalMs: 1000 },
        acceptedAtMs: timeOfDayMs,
    };
    addDueOccurrences(addSubmission(board, submission, 1, false, 0), timeOfDayMs, 0);
}

function toThousandths(value: number): number {
    return Math.round(value * 1000) / 1000;
}
