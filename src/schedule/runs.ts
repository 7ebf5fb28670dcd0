import type { Run, RunPhase, SchedulerState, Task, Worker } from "./schedulerState";
import { keepTask, releaseTask } from "./stepTasks";

/** Adds a run to the scheduler state and reserves its capacity. */
export function addRun(
    state: SchedulerState,
    task: Task,
    worker: Worker,
    number: number,
    phase: RunPhase,
    nowMs: number,
): Run {
    const run: Run = {
        task,
        number,
        worker,
        phase,
        plannedAtMs: nowMs,
        answeredAtMs: Number.POSITIVE_INFINITY,
        percent: 0,
        progressAtMs: nowMs,
        firstListedAtMs: undefined,
        checkpoint: task.checkpoint,
        measure: 0,
        pacePercent: 100,
        stopReason: undefined,
        isStopSent: false,
        isInterruption: false,
    };
    task.runs.push(run);
    keepTask(task);
    task.lastRun = Math.max(task.lastRun, number);
    worker.runs.add(run);
    task.entry.zone = worker.zone || task.entry.zone;
    updateUsage(state, run, 1);
    return run;
}

/** Removes a run that can't be running any more and releases its capacity. */
export function removeRun(state: SchedulerState, run: Run, nowMs: number): void {
    if (!run.worker.runs.delete(run)) {
        return;
    }
    const { task } = run;
    task.runs.splice(task.runs.indexOf(run), 1);
    task.waitingSinceMs = nowMs;
    run.worker.idleSinceMs = nowMs;
    updateUsage(state, run, -1);
    releaseTask(task);
}

/** Moves a run to a later incarnation of its worker. A stop request has to be sent again, to that incarnation. */
export function moveRun(state: SchedulerState, run: Run, worker: Worker, nowMs: number): void {
    updateUsage(state, run, -1);
    run.worker.runs.delete(run);
    run.worker = worker;
    worker.runs.add(run);
    worker.inheritedAtMs = nowMs;
    updateUsage(state, run, 1);
    if (run.phase === "stopping") {
        run.isStopSent = false;
        run.answeredAtMs = Number.POSITIVE_INFINITY;
    }
}

/** Adds (`sign` 1) or removes (-1) a run's resources from the usage of its worker and its tenant. */
function updateUsage(state: SchedulerState, { task, worker }: Run, sign: 1 | -1): void {
    const { size, isFiller } = task.step;
    const cpuMillis = isFiller ? 0 : size.cpuMillis;
    worker.used.cpuMillis += sign * cpuMillis;
    worker.used.memoryMb += sign * size.memoryMb;
    worker.used.accelerators += sign * size.accelerators;
    const { tenant } = task.entry.submission;
    if (tenant === undefined) {
        return;
    }
    const use = state.tenantUse.get(tenant) ?? { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    use.cpuMillis += sign * size.cpuMillis;
    use.memoryMb += sign * size.memoryMb;
    use.accelerators += sign * size.accelerators;
    state.tenantUse.set(tenant, use);
}
