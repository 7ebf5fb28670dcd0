import { isStepReady, placeTask, type SubmissionEntry, type Worker } from "../schedule";

/** A task that has waited this long is looked at more closely, in milliseconds; most are placed within a round or two. */
const waitedMs = 300;

/**
 * Processors of ready tasks for which no worker of the pool has a place, however much is free in all, in thousandths.
 *
 * A step that bears one task on each worker needs as many workers as it has tasks, and a large task needs its room on
 * one machine. Counted by processors alone the pool looks half empty, no machine is sent, and the task waits for good.
 */
export function unplaceableCpuMillis(entry: SubmissionEntry, workers: readonly Worker[], nowMs: number): number {
    let cpuMillis = 0;
    for (const occurrence of entry.occurrences) {
        occurrence.tasks.forEach((step, number) => {
            const waiting = step.filter((task) =>
                task.phase === "waiting" && task.runs.length === 0 && nowMs - task.waitingSinceMs > waitedMs
            );
            const first = waiting[0];
            if (first !== undefined && isStepReady(occurrence, number) && !hasPlace(first, workers, nowMs)) {
                cpuMillis += waiting.length * first.step.size.cpuMillis;
            }
        });
    }
    return cpuMillis;
}

function hasPlace(task: Parameters<typeof placeTask>[0], workers: readonly Worker[], nowMs: number): boolean {
    return placeTask(task, { workers, nowMs }) !== undefined;
}

/**
 * Processors of tasks that last on workers that are being emptied, for which no other worker of the pool has a place, in
 * thousandths. A step that bears one task on each worker fills a pool that looks half empty; stopped before its next
 * machine is there, each task was away for three seconds, and a wave took five for each of them.
 */
export function unplaceableStayingCpuMillis(workers: readonly Worker[], nowMs: number): number {
    let cpuMillis = 0;
    for (const { isListed, isReserved, runs } of workers) {
        for (const { phase, task } of isListed && isReserved ? runs : []) {
            if (phase === "running" && task.step.isLongRunning && !hasPlace(task, workers, nowMs)) {
                cpuMillis += task.step.size.cpuMillis;
            }
        }
    }
    return cpuMillis;
}
