import type { Submission } from "../submissions";
import type { Board, Run, Task, Worker } from "./board";
import { tasksOf } from "./entries";
import type { Estimates } from "./estimates";
import { placeTask } from "./placeTask";
import { addRun } from "./runs";

export interface CopyOptions {
    readonly board: Board;
    readonly workersOf: (pool: string) => readonly Worker[];
    readonly poolOf: (submission: Submission) => string;
    readonly estimates: Estimates;
    readonly nowMs: number;
}

/** Runs of one task at most, the first among them. */
const maxRuns = 2;

/** A run that has taken this many times what is expected gets a copy: most runs end well before. */
const lateFactor = 1.8;

/** No copies before this time, in milliseconds; one costs a start and the work that is thrown away. */
const earliestMs = 700;

/**
 * Starts a second copy of tasks that may have one, on another worker, where the first takes far longer than others of its
 * kind or its worker has fallen silent.
 *
 * A worker that turned slow or stands still holds up the last tasks of a step, and with them everything that waits for
 * the step. A copy on a sound worker ends at about the usual time; the other is stopped. What runs on a silent worker can
 * only be given up when its lease must have run out, seconds after the step should have ended; a copy need not wait.
 */
export function planCopies(opts: CopyOptions): readonly Run[] {
    const copies: Run[] = [];
    for (const entry of opts.board.submissions.values()) {
        if (entry.ending !== undefined || !hasSpeculation(entry.submission.steps)) {
            continue;
        }
        for (const task of tasksOf(entry)) {
            if (!isLate(task, opts)) {
                continue;
            }
            const copy = placeCopy(task, opts.workersOf(opts.poolOf(entry.submission)), opts);
            if (copy !== undefined) {
                copies.push(copy);
            }
        }
    }
    return copies;
}

function hasSpeculation(steps: readonly Task["step"][]): boolean {
    return steps.some(({ isSpeculative }) => isSpeculative);
}

function isLate(task: Task, { estimates, nowMs }: CopyOptions): boolean {
    const [run] = task.runs;
    if (!task.step.isSpeculative || task.phase !== "waiting" || run === undefined || task.runs.length >= maxRuns) {
        return false;
    }
    // A worker that this owner has not asked yet has not fallen silent either.
    if (run.worker.runList.kind === "read" && !run.worker.isReachable) {
        return true;
    }
    const tookMs = nowMs - (run.seenAtMs ?? run.plannedAtMs);
    return run.phase === "running" && tookMs > earliestMs && tookMs > lateFactor * estimates.expectMs(task);
}

function placeCopy(task: Task, workers: readonly Worker[], { board, nowMs }: CopyOptions): Run | undefined {
    const avoid = new Set(task.runs.map(({ worker }) => worker));
    const worker = placeTask(task, { workers, nowMs, avoid });
    return worker === undefined ? undefined : addRun(board, task, worker, task.lastRun + 1, "recording", nowMs);
}
