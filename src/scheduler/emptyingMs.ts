import type { Worker } from "../schedule";
import type { Step } from "../submissions";

/** A task that was stopped is at work elsewhere this long after its stop, in milliseconds: its start and its startup. */
const backAtWorkMs = 1000;

/** How many tasks of each step that lasts the given workers run. */
export function countStaying(workers: readonly Worker[]): ReadonlyMap<Step, number> {
    const counts = new Map<Step, number>();
    for (const { runs } of workers) {
        for (const { task: { step } } of runs) {
            if (step.isLongRunning) {
                counts.set(step, (counts.get(step) ?? 0) + 1);
            }
        }
    }
    return counts;
}

/**
 * How long it takes at least to empty a worker that is due for an upkeep, in milliseconds.
 *
 * A step that serves users bears only so many of its tasks away at once, on all machines together. A worker that holds six
 * of a step that bears one is empty after six turns of stopping and starting again, some twelve seconds; where three workers
 * hold twenty-four of a step that bears three, each waits for its turn. Begun as late as others, their upkeeps came after
 * the wave was due: 1 to 7 of some hundred machines.
 *
 * @param counts tasks of each step on all workers that are due, this one among them
 * @param maxStopMs longest time that a stop takes, in milliseconds
 */
export function emptyingMs(worker: Worker, counts: ReadonlyMap<Step, number>, maxStopMs: number): number {
    let turns = 0;
    for (const { task: { step } } of worker.runs) {
        if (step.isLongRunning && step.maxUnavailable > 0) {
            turns = Math.max(turns, Math.ceil((counts.get(step) ?? 1) / step.maxUnavailable));
        }
    }
    return turns * (maxStopMs + backAtWorkMs);
}
