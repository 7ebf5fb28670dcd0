import type { Resources } from "../resources";
import type { Task, Worker } from "./board";
import { isSound } from "./workerHealth";

export interface PlaceOptions {
    readonly workers: readonly Worker[];
    readonly nowMs: number;
    /** Workers that may run the step; `undefined`: all. */
    readonly allowed?: ReadonlySet<string> | undefined;
    /** Another copy of the task runs on these. */
    readonly avoid?: ReadonlySet<Worker>;
}

/** Whether a worker has room for a task, with what is reserved on it. */
export function hasRoom(worker: Worker, { step }: Task): boolean {
    const { used, capacity } = worker;
    const cpuMillis = step.isFiller ? 0 : step.size.cpuMillis;
    return used.cpuMillis + cpuMillis <= capacity.cpuMillis
        && used.memoryMb + step.size.memoryMb <= capacity.memoryMb
        && used.accelerators + step.size.accelerators <= capacity.accelerators;
}

/** Whether a task could ever run on a worker that is empty. */
export function fitsEmpty(capacity: Resources, { step }: Task): boolean {
    return step.size.cpuMillis <= capacity.cpuMillis
        && step.size.memoryMb <= capacity.memoryMb
        && step.size.accelerators <= capacity.accelerators;
}

/** Whether new work may be given to a worker at all. */
export function isOpen(worker: Worker): boolean {
    return isInService(worker) && !worker.isEvacuated;
}

/** Whether a worker could take work as far as it and its machine are concerned, evacuations aside. */
export function isInService(worker: Worker): boolean {
    return worker.isListed && worker.runList.kind === "read" && worker.isReachable && !worker.isDraining
        && !worker.isReserved
        && worker.strays === 0;
}

/** Whether a worker may run a task, room aside. */
export function isEligible(worker: Worker, task: Task, opts: PlaceOptions): boolean {
    const { step } = task;
    return isOpen(worker)
        && (step.workerLabel === undefined || worker.labels.includes(step.workerLabel))
        && opts.allowed?.has(worker.id) !== false
        && opts.avoid?.has(worker) !== true
        && isSound(worker, task, opts.nowMs)
        && (step.maxPerWorker === 0 || countSiblings(worker, task) < step.maxPerWorker);
}

/** Tasks of the same step and occurrence on the worker. */
function countSiblings(worker: Worker, task: Task): number {
    let count = 0;
    for (const run of worker.runs) {
        const other = run.task;
        if (other.owner === task.owner && other.occurrence === task.occurrence && other.step === task.step) {
            count++;
        }
    }
    return count;
}

/**
 * The worker that should run a task; `undefined` where none may or none has room.
 *
 * Near its data a task takes its time, elsewhere `remoteFactor` times as long, so the data's rack goes first. Long-running
 * tasks then take the fullest worker that holds them: they stay, and whatever they leave free on other machines can be
 * moved to where work waits. Short tasks take the fullest worker too, but those that hold long-running tasks first, so
 * that machines which serve a burst run empty soon after it. Tasks of one submission that ends by itself keep to one
 * availability zone: it ends with its last task, and spread over all zones nearly each one would wait for leases to run out
 * when any zone is cut off. Tasks that disturb each other are kept apart: a filler goes
 * where the fewest serving tasks are.
 */
export function placeTask(task: Task, opts: PlaceOptions): Worker | undefined {
    let best: Worker | undefined;
    let bestScore = Number.NEGATIVE_INFINITY;
    for (const worker of opts.workers) {
        if (!hasRoom(worker, task) || !isEligible(worker, task, opts)) {
            continue;
        }
        const score = scorePlace(worker, task);
        if (score > bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
}

const dataRackBonus = 100;
const failedHerePenalty = 50;
const stayingBonus = 2;
const sameZoneBonus = 4;

function scorePlace(worker: Worker, task: Task): number {
    const { step } = task;
    const fullness = worker.used.cpuMillis / Math.max(1, worker.capacity.cpuMillis);
    let score = step.isFiller ? -countServing(worker) : fullness;
    if (step.dataRack !== undefined && worker.rack === step.dataRack) {
        score += dataRackBonus;
    }
    if (task.failedOn.has(worker.id)) {
        score -= failedHerePenalty;
    }
    if (!step.isLongRunning) {
        score += hasStaying(worker) ? stayingBonus : 0;
        score += worker.zone === task.owner.zone ? sameZoneBonus : 0;
    }
    return score;
}

function hasStaying(worker: Worker): boolean {
    for (const run of worker.runs) {
        if (run.task.step.isLongRunning) {
            return true;
        }
    }
    return false;
}

/** Long-running tasks with a latency target; what fills beside them disturbs them. */
function countServing(worker: Worker): number {
    let count = 0;
    for (const run of worker.runs) {
        count += run.task.step.targetLatencyMs > 0 ? 1 : 0;
    }
    return count;
}
