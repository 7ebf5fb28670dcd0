import type { ProblemCode } from "../errors";
import type { Limits } from "../limits";
import type { IndexedPool, PoolIndex } from "../pools";
import type { TaskQueues } from "./createTaskQueues";
import type { DispatchRequest } from "./dispatch";
import { estimateWaitMs, retryAfterSeconds } from "./queueEstimates";

export interface Refusal {
    readonly code: ProblemCode;
    readonly detail: string;
    /** Seconds until it is worth coming back. */
    readonly comeBack?: number;
}

export interface FindRefusalOptions {
    readonly pools: PoolIndex;
    readonly limits: Limits;
    readonly queues: TaskQueues;
}

/** Why a task is not even queued; costs the same however many tasks wait. */
export function findRefusal({ task, signal }: DispatchRequest, opts: FindRefusalOptions): Refusal | undefined {
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
        return { code: "QUEUE_FULL", detail, comeBack: retryAfterSeconds(queue) };
    }
    const leftMs = task.deadlineAtMs - Date.now();
    if (leftMs <= 0) {
        return { code: "DEADLINE_PASSED", detail: "the deadline had passed on arrival" };
    }
    if (queue !== undefined && !task.urgent && estimateWaitMs(queue) > leftMs) {
        const detail = "at the present rate the task would not start before its deadline";
        return { code: "QUEUE_FULL", detail, comeBack: retryAfterSeconds(queue) };
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
