import { createDurationEstimates, planStarts, removeRun } from "../../src/schedule";
import type { Experiment, ExperimentRow } from "../experiment";
import { createBusyBoard } from "./createBusyBoard";

interface Load {
    readonly workers: number;
    readonly waiting: number;
    /** Workers with room in the pool that most waits for. */
    readonly freeWorkers: number;
}

/** Sizes of today, of hundreds of workers, and of the users' plan; and a backlog with nothing to place it on. */
const loads: readonly Load[] = [
    { workers: 35, waiting: 80, freeWorkers: 1 },
    { workers: 378, waiting: 80, freeWorkers: 1 },
    { workers: 3600, waiting: 80, freeWorkers: 1 },
    { workers: 378, waiting: 800, freeWorkers: 1 },
    { workers: 378, waiting: 5000, freeWorkers: 1 },
    { workers: 378, waiting: 5000, freeWorkers: 0 },
    { workers: 3600, waiting: 5000, freeWorkers: 1 },
];

const rounds = { quick: 30, full: 300 };

/** Outlooks are worked out anew after 200 ms; rounds are this far apart, in milliseconds. */
const roundMs = 20;

/** Rounds before time is taken, so that the compiler has seen the code. */
const warmUpRounds = 20;

export const planningExperiment: Experiment = {
    name: "planning",
    description:
        "time of a round of planning over workers and over what waits; aim: no more for a fleet of 3,600 than for 35",
    run({ seed, isQuick }) {
        const count = isQuick ? rounds.quick : rounds.full;
        return Promise.resolve(loads.map((load): ExperimentRow => ({
            setting: `${load.workers} workers, ${load.waiting} tasks wait, ${load.freeWorkers} workers free`,
            way: "samphirepin",
            figures: measureRounds(load, count, seed),
        })));
    },
};

function measureRounds(load: Load, count: number, seed: number) {
    const { board, policy } = createBusyBoard(load.workers, load.waiting, load.freeWorkers, seed);
    const estimates = createDurationEstimates();
    let starts = 0;
    let tookMs = 0;
    for (let round = -warmUpRounds; round < count; round++) {
        const nowMs = (round + warmUpRounds) * roundMs;
        const beganAtMs = performance.now();
        const started = planStarts({
            state: board,
            policy,
            estimates,
            nowMs,
            timeOfDayMs: nowMs,
            allowedWorkers: () => undefined,
            maxStarts: 200,
        });
        if (round >= 0) {
            tookMs += performance.now() - beganAtMs;
            starts += started.length;
        }
        // Taken back, each round meets the same load.
        started.forEach((run) => removeRun(board, run, nowMs));
    }
    return { roundMs: toThousandths(tookMs / count), startsPerRound: Math.round(starts / count) };
}

function toThousandths(value: number): number {
    return Math.round(value * 1000) / 1000;
}
