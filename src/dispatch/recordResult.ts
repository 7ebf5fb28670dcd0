import type { Reporter } from "../logging";
import type { PoolIndex } from "../pools";
import type { TaskResult } from "../workers";
import type { Attempt } from "./createLeasedAttempts";
import type { WorkerHealth } from "./createWorkerHealth";
import type { WorkerLoads } from "./createWorkerLoads";

export interface RecordResultOptions {
    readonly loads: WorkerLoads;
    readonly health: WorkerHealth;
    readonly pools: PoolIndex;
    readonly report: Reporter;
    readonly onEjected: (instance: string, pool: string) => void;
}

/** Updates the state of the task, the load and the health of the worker from the result of an attempt. */
export function recordResult(
    attempt: Attempt,
    result: TaskResult,
    durationMs: number,
    opts: RecordResultOptions,
): void {
    const { waiting } = attempt;
    switch (result.kind) {
        case "answered":
            waiting.startedAttempts++;
            updateHealth(attempt, true, durationMs, opts);
            return;
        case "failed":
            waiting.startedAttempts++;
            waiting.excludedInstances.add(attempt.instance.name);
            updateHealth(attempt, false, durationMs, opts);
            return;
        case "stopped":
            waiting.startedAttempts++;
            return;
        case "unknown":
            waiting.startedAttempts++;
            waiting.excludedInstances.add(attempt.instance.name);
            if (attempt.stopping === undefined) {
                updateHealth(attempt, false, durationMs, opts);
            }
            return;
        case "notRun":
            recordNotRun(attempt, result.reason, opts);
    }
}

function recordNotRun(
    { waiting, instance }: Attempt,
    reason: Extract<TaskResult, { kind: "notRun"; }>["reason"],
    { loads }: RecordResultOptions,
): void {
    switch (reason) {
        case "busy":
            loads.recordBusy(instance);
            return;
        case "tooLarge":
            waiting.excludedInstances.add(instance.name);
            return;
        case "leaving":
        case "staleAssignment":
        case "unreachable":
            loads.avoid(instance, reason);
            return;
    }
}

function updateHealth(
    { instance, waiting }: Attempt,
    isOk: boolean,
    durationMs: number,
    opts: RecordResultOptions,
): void {
    const poolSize = opts.pools.find(instance.pool)?.servingCount ?? 1;
    const slowness = Math.max(1, durationMs) / waiting.task.expectedRunMs;
    const change = opts.health.recordOutcome(instance.name, instance.pool, poolSize, isOk, slowness);
    if (change !== undefined) {
        const { kind, ...fields } = change;
        opts.report({ kind: "workerHealth", change: kind, ...fields });
        if (kind === "ejected") {
            opts.onEjected(change.instance, change.pool);
        }
    }
}
