import { acceptsNewWork, placeTask, type Worker } from "../schedule";

export interface ConsolidationOptions {
    /** Workers of one pool. */
    readonly workers: readonly Worker[];
    /** Cores that the pool can spare, in thousandths. The cores of moved tasks are needed again on other workers. */
    readonly spareCpuMillis: number;
    /** How long a worker has run only long-running tasks, in milliseconds. */
    readonly longRunningOnlyMs: (worker: Worker) => number;
    readonly nowMs: number;
}

/**
 * How long a long-running task is unavailable when it moves, in milliseconds: its stop, its start on another worker and
 * its startup. A worker is emptied once it has run only long-running tasks for as long as these would be unavailable in
 * total. The cost is then at most twice that of the best choice with knowledge of the future.
 */
const moveUnavailableMs = 1500;

/**
 * Chooses the worker whose tasks should move to others, so that the pool can release its machine.
 *
 * Long-running tasks stay where they were started, such as during a busy period or a maintenance wave. Each of them can
 * then hold a machine of its own: under low load, four pools would keep four to five machines each for tasks that fit
 * on one. Only tasks whose step allows an unavailable task are moved, and only to workers that are in use anyway.
 */
export function chooseConsolidation(opts: ConsolidationOptions): Worker | undefined {
    const [worker] = opts.workers
        .filter(({ capacity, used }) => capacity.cpuMillis + used.cpuMillis <= opts.spareCpuMillis)
        .filter((each) => isMovable(each) && opts.longRunningOnlyMs(each) >= moveUnavailableMs * each.runs.size)
        .sort((a, b) => a.runs.size - b.runs.size);
    if (worker === undefined) {
        return undefined;
    }
    const others = opts.workers.filter((other) => other !== worker && other.runs.size > 0 && acceptsNewWork(other));
    return canPlaceAll(worker, others, opts.nowMs) ? worker : undefined;
}

function isMovable(worker: Worker): boolean {
    return acceptsNewWork(worker) && worker.runs.size > 0
        && [...worker.runs].every(({ phase, task: { step } }) => phase === "running" && step.maxUnavailable > 0);
}

/** Whether all tasks can be placed, with the cores of those placed before subtracted. */
function canPlaceAll(worker: Worker, others: readonly Worker[], nowMs: number): boolean {
    const freeCpuMillis = new Map(others.map((other) => [other, other.capacity.cpuMillis - other.used.cpuMillis]));
    return [...worker.runs].every(({ task }) => {
        const cpuMillis = task.step.isFiller ? 0 : task.step.size.cpuMillis;
        const candidates = others.filter((other) => (freeCpuMillis.get(other) ?? 0) >= cpuMillis);
        const target = placeTask(task, { workers: candidates, nowMs });
        if (target !== undefined) {
            freeCpuMillis.set(target, (freeCpuMillis.get(target) ?? 0) - cpuMillis);
        }
        return target !== undefined;
    });
}
