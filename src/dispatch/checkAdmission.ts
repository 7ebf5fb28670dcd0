import type { ProblemCode } from "../errors";
import type { Limits } from "../limits";
import type { IndexedPool, PoolIndex } from "../pools";
import type { TaskQueues } from "./createTaskQueues";
import type { DispatchRequest } from "./dispatch";
import { estimateRetryAfterSeconds, estimateWaitMs } from "./queueEstimates";

/** Why a task is refused on arrival. */
export interface Refusal {
    readonly code: ProblemCode;
    readonly detail: string;
    /** When the caller should retry, in seconds. */
    readonly retryAfterSeconds?: number;
}

export interface CheckAdmissionOptions {
    readonly pools: PoolIndex;
    readonly limits: Limits;
    readonly queues: TaskQueues;
}

/**
 * Returns why a task must not be queued, or `undefined` if it may be. The cost doesn't depend on how many tasks wait.
 */
export function checkAdmission({ task, signal }: DispatchRequest, opts: CheckAdmissionOptions): Refusal | undefined {
    const { pools, limits, queues } = opts;
    const pool = pools.find(task.pool);
    if (pool === undefined) {
        return { code: "NEVER_FITS", detail: `there is no pool ${task.pool}` };
    }
    if (!pool.canEverFit(task.size)) {
        return { code: "NEVER_FITS", detail: describeLargest(pool) };
    }
    if (limits.isNeverPossible(task.team, task.size)) {
        return { code: "NEVER_FITS", detail: `team ${task.team}'s whole limit cannot hold one such task` };
    }
    if (signal.aborted) {
        return { code: "CANCELLED", detail: "cancelled before it was queued" };
    }
    const queue = queues.find(task.pool, task.team);
    if (queues.isFull(task.team)) {
        const detail = `${queues.count()} tasks wait at this entry`;
        return { code: "QUEUE_FULL", detail, retryAfterSeconds: estimateRetryAfterSeconds(queue) };
    }
    const remainingMs = task.deadlineAtMs - Date.now();
    if (remainingMs <= 0) {
        return { code: "DEADLINE_PASSED", detail: "the deadline had passed on arrival" };
    }
    if (queue !== undefined && !task.urgent && estimateWaitMs(queue) > remainingMs) {
        const detail = "at the present rate the task would not start before its deadline";
        return { code: "QUEUE_FULL", detail, retryAfterSeconds: estimateRetryAfterSeconds(queue) };
    }
    return undefined;
}

function describeLargest({ name, largest }: IndexedPool): string {
    if (largest === undefined) {
        return `pool ${name} has no instance`;
    }
    const { processors, memoryMb, accelerators } = largest.capacity;
    return `the largest instance of pool ${name}, ${largest.name}, has ${processors} processors, ${memoryMb} MB`
        + ` and ${accelerators} accelerators`;
}
