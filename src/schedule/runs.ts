import type { Board, Run, RunPhase, Task, Worker } from "./board";

/** Puts a run on the board; its room counts from now on. */
export function addRun(
    board: Board,
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
        seenAtMs: undefined,
        checkpoint: task.checkpoint,
        measure: 0,
        pacePercent: 100,
        stopReason: undefined,
        isStopSent: false,
    };
    task.runs.push(run);
    task.lastRun = Math.max(task.lastRun, number);
    worker.runs.add(run);
    task.owner.zone = worker.zone || task.owner.zone;
    count(board, run, 1);
    return run;
}

/** Takes a run off the board once nothing of it can run any more. */
export function removeRun(board: Board, run: Run, nowMs: number): void {
    if (!run.worker.runs.delete(run)) {
        return;
    }
    const { task } = run;
    task.runs.splice(task.runs.indexOf(run), 1);
    task.waitingSinceMs = nowMs;
    run.worker.idleSinceMs = nowMs;
    count(board, run, -1);
}

/** Puts a run on the record of a later life of its worker, which has not been sent its stop. */
export function moveRun(board: Board, run: Run, worker: Worker, nowMs: number): void {
    count(board, run, -1);
    run.worker.runs.delete(run);
    run.worker = worker;
    worker.runs.add(run);
    worker.inheritedAtMs = nowMs;
    count(board, run, 1);
    if (run.phase === "stopping") {
        run.isStopSent = false;
        run.answeredAtMs = Number.POSITIVE_INFINITY;
    }
}

function count(board: Board, { task, worker }: Run, sign: 1 | -1): void {
    const { size, isFiller } = task.step;
    const cpuMillis = isFiller ? 0 : size.cpuMillis;
    worker.used.cpuMillis += sign * cpuMillis;
    worker.used.memoryMb += sign * size.memoryMb;
    worker.used.accelerators += sign * size.accelerators;
    const { tenant } = task.owner.submission;
    if (tenant === undefined) {
        return;
    }
    const use = board.tenantUse.get(tenant) ?? { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    use.cpuMillis += sign * size.cpuMillis;
    use.memoryMb += sign * size.memoryMb;
    use.accelerators += sign * size.accelerators;
    board.tenantUse.set(tenant, use);
}
