import { isOpen, placeTask, type Worker } from "../schedule";

export interface ConsolidationOptions {
    /** Workers of one pool. */
    readonly workers: readonly Worker[];
    /** Processors that the pool could do without, in thousandths; those of tasks that move are needed elsewhere. */
    readonly spareCpuMillis: number;
    /** How long a worker has run nothing but tasks that last, in milliseconds. */
    readonly stayingMs: (worker: Worker) => number;
    readonly nowMs: number;
}

/**
 * How long a task that lasts is away when it moves, in milliseconds: its stop, its start elsewhere and its startup. A worker
 * is emptied once it has stood for as long as its tasks would be away, so that at worst twice as much is paid as with
 * knowledge of what comes.
 */
const awayMs = 1500;

/**
 * The worker whose tasks should move to others, so that its machine can be given back.
 *
 * Tasks that last stay where they were started, in the middle of a turn or beside a wave. Each then holds a machine: on a
 * calm evening four pools kept four to five machines each for tasks that one can hold. Only tasks whose step bears one
 * away are moved, and only to workers that are in use anyway.
 */
export function chooseConsolidation(opts: ConsolidationOptions): Worker | undefined {
    const [worker] = opts.workers
        .filter(({ capacity, used }) => capacity.cpuMillis + used.cpuMillis <= opts.spareCpuMillis)
        .filter((each) => isMovable(each) && opts.stayingMs(each) >= awayMs * each.runs.size)
        .sort((a, b) => a.runs.size - b.runs.size);
    if (worker === undefined) {
        return undefined;
    }
    const others = opts.workers.filter((other) => other !== worker && other.runs.size > 0 && isOpen(other));
    return canTakeAll(worker, others, opts.nowMs) ? worker : undefined;
}

function isMovable(worker: Worker): boolean {
    return isOpen(worker) && worker.runs.size > 0
        && [...worker.runs].every(({ phase, task: { step } }) => phase === "running" && step.maxUnavailable > 0);
}

/** Whether each task has a place, the room for those before it taken off. */
function canTakeAll(worker: Worker, others: readonly Worker[], nowMs: number): boolean {
    const free = new Map(others.map((other) => [other, other.capacity.cpuMillis - other.used.cpuMillis]));
    return [...worker.runs].every(({ task }) => {
        const cpuMillis = task.step.isFiller ? 0 : task.step.size.cpuMillis;
        const candidates = others.filter((other) => (free.get(other) ?? 0) >= cpuMillis);
        const place = placeTask(task, { workers: candidates, nowMs });
        if (place !== undefined) {
            free.set(place, (free.get(place) ?? 0) - cpuMillis);
        }
        return place !== undefined;
    });
}
