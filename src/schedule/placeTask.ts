import type { Resources } from "../resources";
import type { Task, Worker } from "./schedulerState";
import { isHealthyFor } from "./workerHealth";

export interface PlaceOptions {
    readonly workers: readonly Worker[];
    readonly nowMs: number;
    /** Ids of the workers that may run the step; `undefined`: all. */
    readonly allowed?: ReadonlySet<string> | undefined;
    /** Workers that already have a run of the task. */
    readonly excluded?: ReadonlySet<Worker>;
}

/** Whether a worker has enough free capacity for a task, given what is reserved on it. */
export function hasFreeCapacity(worker: Worker, { step }: Task): boolean {
    const { used, capacity } = worker;
    const cpuMillis = step.isFiller ? 0 : step.size.cpuMillis;
    return used.cpuMillis + cpuMillis <= capacity.cpuMillis
        && used.memoryMb + step.size.memoryMb <= capacity.memoryMb
        && used.accelerators + step.size.accelerators <= capacity.accelerators;
}

/** Whether a task fits on an empty worker of a capacity. */
export function fitsCapacity(capacity: Resources, { step }: Task): boolean {
    return step.size.cpuMillis <= capacity.cpuMillis
        && step.size.memoryMb <= capacity.memoryMb
        && step.size.accelerators <= capacity.accelerators;
}

/** Whether a worker may get new work at all. */
export function acceptsNewWork(worker: Worker): boolean {
    return isInService(worker) && !worker.isEvacuated;
}

/** Whether the state of a worker and its machine allows new work; evacuation of its zone is not considered. */
export function isInService(worker: Worker): boolean {
    return isOperational(worker) && !worker.isReserved;
}

/** Whether a worker is known to work and has no other runs than those that are known; it may be reserved. */
export function isOperational(worker: Worker): boolean {
    return worker.isRegistered && worker.runList.kind === "read" && worker.isReachable && !worker.isDraining
        && worker.strayRunCount === 0;
}

/** Whether a worker may run a task; free capacity is not considered. */
export function isEligible(worker: Worker, task: Task, opts: PlaceOptions): boolean {
    const { step } = task;
    return acceptsNewWork(worker)
        && (step.workerLabel === undefined || worker.labels.includes(step.workerLabel))
        && opts.allowed?.has(worker.id) !== false
        && opts.excluded?.has(worker) !== true
        && isHealthyFor(worker, task, opts.nowMs)
        && (step.maxPerWorker === 0 || countSiblings(worker, task) < step.maxPerWorker);
}

/** Number of runs of the same step and occurrence on the worker. */
function countSiblings(worker: Worker, task: Task): number {
    let count = 0;
    for (const run of worker.runs) {
        const other = run.task;
        if (other.entry === task.entry && other.occurrence === task.occurrence && other.step === task.step) {
            count++;
        }
    }
    return count;
}

/**
 * Chooses the worker that should run a task; `undefined`: no worker is eligible and has enough free capacity.
 *
 * - The rack of the task's data comes first: in other racks it takes longer, by a factor that depends on the fleet.
 * - Long-running tasks go to the fullest worker that still fits them. They stay there, and the machines that are left
 *   empty can be moved to where work waits.
 * - Short tasks also go to the fullest worker, but prefer workers that have long-running tasks. So the machines that
 *   serve a busy period become empty soon after it.
 * - Tasks of one submission that is not long-running prefer one availability zone. A submission ends with its last
 *   task; with all of them spread over all zones, nearly every submission would wait for leases to expire whenever a
 *   zone is partitioned.
 * - A filler goes to the worker with the fewest tasks with a latency target, because it slows them down.
 */
export function placeTask(task: Task, opts: PlaceOptions): Worker | undefined {
    let best: Worker | undefined;
    let bestScore = Number.NEGATIVE_INFINITY;
    for (const worker of opts.workers) {
        if (!hasFreeCapacity(worker, task) || !isEligible(worker, task, opts)) {
            continue;
        }
        const score = scoreWorker(worker, task);
        if (score > bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
}

const dataRackScore = 100;
const failedBeforePenalty = 50;
const longRunningScore = 2;
const sameZoneScore = 4;

function scoreWorker(worker: Worker, task: Task): number {
    const { step } = task;
    const fullness = worker.used.cpuMillis / Math.max(1, worker.capacity.cpuMillis);
    let score = step.isFiller ? -countServing(worker) : fullness;
    if (step.dataRack !== undefined && worker.rack === step.dataRack) {
        score += dataRackScore;
    }
    if (task.failedWorkerIds.has(worker.id)) {
        score -= failedBeforePenalty;
    }
    if (!step.isLongRunning) {
        score += hasLongRunning(worker) ? longRunningScore : 0;
        score += worker.zone === task.entry.zone ? sameZoneScore : 0;
    }
    return score;
}

function hasLongRunning(worker: Worker): boolean {
    for (const run of worker.runs) {
        if (run.task.step.isLongRunning) {
            return true;
        }
    }
    return false;
}

/** Number of runs with a latency target; a filler on the same worker increases their latency. */
function countServing(worker: Worker): number {
    let count = 0;
    for (const run of worker.runs) {
        count += run.task.step.targetLatencyMs > 0 ? 1 : 0;
    }
    return count;
}
