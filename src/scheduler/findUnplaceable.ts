import { isStepReady, placeTask, type SubmissionEntry, type Worker } from "../schedule";

/** Minimum wait before a task is checked for a place, in milliseconds. Most tasks are placed within one or two rounds. */
const minWaitMs = 300;

/**
 * Returns the cores of ready tasks that no worker of the pool can take, whatever the total free capacity, in thousandths.
 *
 * A step that allows one task per worker needs as many workers as it has tasks, and a large task needs its capacity on
 * one machine. By the sum of cores alone the pool looks half empty, no machine is moved to it, and the task waits
 * forever.
 */
export function unplaceableCpuMillis(entry: SubmissionEntry, workers: readonly Worker[], nowMs: number): number {
    let cpuMillis = 0;
    for (const occurrence of entry.occurrences) {
        occurrence.tasks.forEach((step, number) => {
            const waiting = step.filter((task) =>
                task.phase === "waiting" && task.runs.length === 0 && nowMs - task.waitingSinceMs > minWaitMs
            );
            const first = waiting[0];
            if (first !== undefined && isStepReady(occurrence, number) && !isPlaceable(first, workers, nowMs)) {
                cpuMillis += waiting.length * first.step.size.cpuMillis;
            }
        });
    }
    return cpuMillis;
}

function isPlaceable(task: Parameters<typeof placeTask>[0], workers: readonly Worker[], nowMs: number): boolean {
    return placeTask(task, { workers, nowMs }) !== undefined;
}

/**
 * Returns the cores of long-running tasks on workers that are being emptied, which no other worker of the pool can take,
 * in thousandths. A step that allows one task per worker fills a pool that looks half empty. If such tasks were stopped
 * before their next machine has joined, each would be unavailable for three seconds, and a wave would take five seconds
 * for each.
 */
export function unplaceableLongRunningCpuMillis(workers: readonly Worker[], nowMs: number): number {
    let cpuMillis = 0;
    for (const { isRegistered, isReserved, runs } of workers) {
        for (const { phase, task } of isRegistered && isReserved ? runs : []) {
            if (phase === "running" && task.step.isLongRunning && !isPlaceable(task, workers, nowMs)) {
                cpuMillis += task.step.size.cpuMillis;
            }
        }
    }
    return cpuMillis;
}
