import type { Worker } from "../schedule";
import type { Step } from "../submissions";

/** Time from the stop of a task until it works on another worker, in milliseconds: its start request and its startup. */
const restartMs = 1000;

/** Counts the tasks of each long-running step on the given workers. */
export function countLongRunningTasks(workers: readonly Worker[]): ReadonlyMap<Step, number> {
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
 * Returns the minimum time that it takes to empty a worker that is due for maintenance, in milliseconds.
 *
 * `maxUnavailable` limits how many tasks of a step that serves users may be unavailable at once, over all machines. A
 * worker with six tasks of a step that allows one is empty after six rounds of stop and restart, some twelve seconds.
 * Three workers with 24 tasks of a step that allows three need eight rounds together, so each waits for the others.
 * Without this estimate, the emptying of such workers would begin as late as that of others, and of some hundred
 * machines the maintenance of 1 to 7 would miss the wave's deadline.
 *
 * @param counts number of tasks of each step on all workers that are due, including this one
 * @param maxStopMs longest time that a stop takes, in milliseconds
 */
export function minEmptyingMs(worker: Worker, counts: ReadonlyMap<Step, number>, maxStopMs: number): number {
    let rounds = 0;
    for (const { task: { step } } of worker.runs) {
        if (step.isLongRunning && step.maxUnavailable > 0) {
            rounds = Math.max(rounds, Math.ceil((counts.get(step) ?? 1) / step.maxUnavailable));
        }
    }
    return rounds * (maxStopMs + restartMs);
}
