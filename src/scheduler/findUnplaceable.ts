import { countIdle, findIdle, isStepReady, placeTask, type SubmissionEntry, type Task, type Worker } from "../schedule";
import type { Step } from "../submissions";

/** Minimum wait before a task is checked for a place, in milliseconds. Most tasks are placed within one or two rounds. */
const minWaitMs = 300;

/** Most demands that one call checks. Each check goes over all workers. */
const maxChecks = 20;

export interface UnplaceableOptions {
    /** Workers of one pool. */
    readonly workers: readonly Worker[];
    readonly nowMs: number;
    /** Whether some worker or machine of the fleet could run a step. */
    readonly isRunnable: (step: Step) => boolean;
}

interface WaitingDemand {
    readonly task: Task;
    cpuMillis: number;
}

/** Identifies what a step demands of the worker of one of its tasks, and of all workers for a gang. */
export function demandKeyOf({ workerLabel, size, isFiller, isGang, count, maxPerWorker }: Step): string {
    const { cpuMillis, memoryMb, accelerators } = size;
    return [workerLabel, cpuMillis, memoryMb, accelerators, isFiller, isGang ? count : 0, maxPerWorker].join(" ");
}

/**
 * Returns the cores of ready tasks that no worker of the pool can take, whatever the total free capacity, in thousandths.
 *
 * A step that allows one task per worker needs as many workers as it has tasks, and a large task needs its capacity on
 * one machine. By the sum of cores alone the pool looks half empty, no machine is moved to it, and the task waits
 * forever. Tasks with the same demands are checked once. Of more demands than can be checked in one call, other ones are
 * checked at other times.
 */
export function sumUnplaceableCpuMillis(entries: readonly SubmissionEntry[], opts: UnplaceableOptions): number {
    const demands = [...listDemands(entries, opts).values()];
    const first = demands.length <= maxChecks ? 0 : Math.floor(opts.nowMs) % demands.length;
    return [...demands.slice(first), ...demands.slice(0, first)].slice(0, maxChecks)
        .filter(({ task }) => !isPlaceable(task, opts.workers, opts.nowMs))
        .reduce((sum, { cpuMillis }) => sum + cpuMillis, 0);
}

function listDemands(
    entries: readonly SubmissionEntry[],
    { nowMs, isRunnable }: UnplaceableOptions,
): ReadonlyMap<string, WaitingDemand> {
    const demands = new Map<string, WaitingDemand>();
    for (const entry of entries) {
        for (const occurrence of entry.occurrences.values()) {
            for (const tasks of occurrence.steps) {
                const { step, stepNumber } = tasks;
                const isLongWaiting = ({ waitingSinceMs }: Task) => nowMs - waitingSinceMs > minWaitMs;
                const task = isRunnable(step) && isStepReady(occurrence, tasks)
                    ? findIdle(tasks, isLongWaiting)
                    : undefined;
                if (task === undefined) {
                    continue;
                }
                // How many tasks of a step a worker may still take depends on those that it runs.
                const own = step.maxPerWorker > 0 ? `${entry.submission.id} ${occurrence.number} ${stepNumber}` : "";
                const key = `${demandKeyOf(step)} ${own}`;
                const demand = demands.get(key) ?? { task, cpuMillis: 0 };
                demand.cpuMillis += countIdle(tasks, isLongWaiting) * step.size.cpuMillis;
                demands.set(key, demand);
            }
        }
    }
    return demands;
}

function isPlaceable(task: Task, workers: readonly Worker[], nowMs: number): boolean {
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
