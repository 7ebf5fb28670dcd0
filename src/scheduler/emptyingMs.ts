import type { Worker } from "../schedule";
import type { Step } from "../submissions";

/** A task that was stopped is at work elsewhere this long after its stop, in milliseconds: its start and its startup. */
const backAtWorkMs = 1000;

/**
 * How long it takes at least to empty a worker, in milliseconds.
 *
 * A step that serves users bears only so many of its tasks away at once. A worker that holds six of a step that bears one
 * is empty after six turns of stopping and starting again, some twelve seconds; begun as late as others, its upkeep came
 * after the wave was due.
 *
 * @param maxStopMs longest time that a stop takes, in milliseconds
 */
export function emptyingMs({ runs }: Worker, maxStopMs: number): number {
    const turns = new Map<Step, number>();
    for (const { task: { step } } of runs) {
        if (step.isLongRunning && step.maxUnavailable > 0) {
            turns.set(step, (turns.get(step) ?? 0) + 1 / step.maxUnavailable);
        }
    }
    return Math.ceil(Math.max(0, ...turns.values())) * (maxStopMs + backAtWorkMs);
}
