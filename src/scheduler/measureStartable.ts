import { findIdle, isEligible, isStepReady, type SubmissionEntry, type Task, type Worker } from "../schedule";

/** Waiting submissions of which one task each is checked, evenly spread over all of them. Each check goes over all workers. */
const checkedSubmissions = 5;

/**
 * Minimum wait of a task that is checked, and minimum time since a worker has joined and since a run on it has ended, in
 * milliseconds. Most tasks are started within one or two rounds. In a large pool tasks end and machines join all the time,
 * so that at any moment more than a machine is free for the next round of starts.
 */
const minWaitMs = 300;

/**
 * Returns the idle cores of a pool on which its waiting tasks could run now, in thousandths.
 *
 * Free cores alone don't tell whether a pool can't fill its machines. Free cores may lie in parts that are too small for any
 * waiting task, or on workers without enough memory or without the label. So the cores count on which tasks of the same size
 * as a checked one would fit, on workers that joined, and where a run last ended, more than `minWaitMs` ago.
 */
export function measureStartable(
    waiting: readonly SubmissionEntry[],
    workers: readonly Worker[],
    nowMs: number,
): number {
    const unused = workers.filter((worker) => hasBeenUnused(worker, nowMs));
    const stride = Math.max(1, Math.floor(waiting.length / checkedSubmissions));
    const checked = waiting.filter((_, index) => index % stride === 0).slice(0, checkedSubmissions);
    const sums = checked.map((entry) => {
        const task = findWaitingTask(entry, nowMs);
        return task === undefined ? 0 : sumStartable(task, unused, nowMs);
    });
    return Math.max(0, ...sums);
}

function hasBeenUnused({ runList, idleSinceMs }: Worker, nowMs: number): boolean {
    return runList.kind === "read" && nowMs - Math.max(runList.firstReadAtMs, idleSinceMs) > minWaitMs;
}

function findWaitingTask(entry: SubmissionEntry, nowMs: number): Task | undefined {
    for (const occurrence of entry.occurrences.values()) {
        for (const tasks of occurrence.steps) {
            const task = isStepReady(occurrence, tasks) ? findIdle(tasks, (each) => isDue(each, nowMs)) : undefined;
            if (task !== undefined) {
                return task;
            }
        }
    }
    return undefined;
}

function isDue(task: Task, nowMs: number): boolean {
    return !task.step.isFiller && task.notBeforeMs <= nowMs && nowMs - task.waitingSinceMs > minWaitMs;
}

function sumStartable(task: Task, workers: readonly Worker[], nowMs: number): number {
    const { isGang, count, size } = task.step;
    const sum = workers.reduce((cpuMillis, worker) => cpuMillis + startableCpuMillis(worker, task, nowMs), 0);
    // A gang that needs more than what is idle waits for machines.
    return isGang && sum < count * size.cpuMillis ? 0 : sum;
}

function startableCpuMillis(worker: Worker, task: Task, nowMs: number): number {
    const { capacity, used } = worker;
    const { cpuMillis, memoryMb, accelerators } = task.step.size;
    const count = Math.min(
        countFitting(capacity.cpuMillis - used.cpuMillis, cpuMillis),
        countFitting(capacity.memoryMb - used.memoryMb, memoryMb),
        countFitting(capacity.accelerators - used.accelerators, accelerators),
    );
    return count >= 1 && Number.isFinite(count) && isEligible(worker, task, { workers: [], nowMs })
        ? count * cpuMillis
        : 0;
}

function countFitting(free: number, size: number): number {
    return size > 0 ? Math.floor(free / size) : Number.POSITIVE_INFINITY;
}
