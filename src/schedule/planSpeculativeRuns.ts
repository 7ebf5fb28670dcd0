import type { Submission } from "../submissions";
import { hasAttemptLeft } from "./attempts";
import type { DurationEstimates } from "./estimates";
import { placeTask } from "./placeTask";
import { addRun } from "./runs";
import type { Run, SchedulerState, SubmissionEntry, Task, Worker } from "./schedulerState";
import { tasksOf } from "./submissionEntries";

export interface SpeculationOptions {
    readonly state: SchedulerState;
    readonly workersOf: (pool: string) => readonly Worker[];
    readonly poolOf: (submission: Submission) => string;
    readonly estimates: DurationEstimates;
    readonly nowMs: number;
}

/** Maximum number of concurrent runs of a task, including the first. */
const maxRuns = 2;

/** A run is a straggler after this multiple of its expected duration: most runs end well before. */
const stragglerFactor = 1.8;

/** Minimum age of a straggler, in milliseconds: a speculative run costs a start and the work that is discarded. */
const minStragglerMs = 700;

/**
 * Adds a speculative run, on another worker, for each task that allows it and whose first run takes far longer than
 * expected or is on a worker that is unreachable. Returns the new runs, in phase `recording`.
 *
 * A worker that is slow or stalled delays the last tasks of a step, and so every step that depends on it. A second run
 * on a healthy worker ends at about the usual time, and the other run is stopped. A run on an unreachable worker can be
 * dropped only when its lease must have expired, seconds after the step should have ended. A speculative run need not
 * wait for that.
 */
export function planSpeculativeRuns(opts: SpeculationOptions): readonly Run[] {
    const speculativeRuns: Run[] = [];
    for (const entry of listConformingFirst(opts.state)) {
        if (entry.finalState !== undefined || !hasSpeculativeStep(entry.submission.steps)) {
            continue;
        }
        for (const task of tasksOf(entry)) {
            if (!isStraggling(task, opts)) {
                continue;
            }
            const run = placeSpeculativeRun(task, opts.workersOf(opts.poolOf(entry.submission)), opts);
            if (run !== undefined) {
                speculativeRuns.push(run);
            }
        }
    }
    return speculativeRuns;
}

/** Speculative runs of excess submissions use only what the others leave. */
function listConformingFirst({ submissions }: SchedulerState): readonly SubmissionEntry[] {
    const entries = [...submissions.values()];
    return [...entries.filter(({ isExcess }) => !isExcess), ...entries.filter(({ isExcess }) => isExcess)];
}

function hasSpeculativeStep(steps: readonly Task["step"][]): boolean {
    return steps.some(({ isSpeculative }) => isSpeculative);
}

function isStraggling(task: Task, { estimates, nowMs }: SpeculationOptions): boolean {
    const [run] = task.runs;
    if (!task.step.isSpeculative || task.phase !== "waiting" || run === undefined || !hasAttemptLeft(task)) {
        return false;
    }
    if (task.runs.length >= maxRuns) {
        return false;
    }
    // A worker that this leader has not polled yet does not count as unreachable.
    if (run.worker.runList.kind === "read" && !run.worker.isReachable) {
        return true;
    }
    const tookMs = nowMs - (run.firstListedAtMs ?? run.plannedAtMs);
    return run.phase === "running" && tookMs > minStragglerMs
        && tookMs > stragglerFactor * estimates.expectedDurationMs(task);
}

function placeSpeculativeRun(
    task: Task,
    workers: readonly Worker[],
    { state, nowMs }: SpeculationOptions,
): Run | undefined {
    const avoid = new Set(task.runs.map(({ worker }) => worker));
    const worker = placeTask(task, { workers, nowMs, excluded: avoid });
    return worker === undefined ? undefined : addRun(state, task, worker, task.lastRun + 1, "recording", nowMs);
}
