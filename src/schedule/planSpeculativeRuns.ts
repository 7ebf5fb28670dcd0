import type { Policy } from "../policy";
import type { StartGate } from "./createStartGate";
import { estimateRemaining } from "./estimateRemaining";
import type { DurationEstimates } from "./estimates";
import { queueOf } from "./queueOf";
import type { Run, SchedulerState, SubmissionEntry, Task, Worker } from "./schedulerState";
import { startedTasksOf } from "./submissionEntries";

export interface StragglerOptions {
    readonly state: SchedulerState;
    readonly policy: Policy;
    readonly estimates: DurationEstimates;
    readonly nowMs: number;
}

export interface SpeculationOptions {
    readonly gate: StartGate;
    readonly policy: Policy;
    readonly workersOf: (pool: string) => readonly Worker[];
}

/** Maximum number of concurrent runs of a task, including the first. */
const maxRuns = 2;

/** A run is a straggler after this multiple of its expected duration: most runs end well before. */
const stragglerFactor = 1.8;

/** Minimum age of a straggler, in milliseconds: a speculative run costs a start and the work that is discarded. */
const minStragglerMs = 700;

/**
 * Lists the tasks that should get a speculative run: those that allow it and whose first run takes far longer than expected
 * or is on a worker that is unreachable.
 *
 * A worker that is slow or stalled delays the last tasks of a step, and so every step that depends on it. A second run
 * on a healthy worker ends at about the usual time, and the other run is stopped. A run on an unreachable worker can be
 * dropped only when its lease must have expired, seconds after the step should have ended. A speculative run need not
 * wait for that.
 *
 * Where there is room for some of them only, one submission after the other gets its runs, because a submission ends with
 * its last task: those within the rate of their account first, then by priority, then those with the least work left.
 */
export function listStragglers(opts: StragglerOptions): readonly Task[] {
    const straggling: { readonly entry: SubmissionEntry; readonly tasks: readonly Task[]; }[] = [];
    for (const entry of opts.state.submissions.values()) {
        if (entry.finalState !== undefined || !hasSpeculativeStep(entry.submission.steps)) {
            continue;
        }
        const tasks = [...startedTasksOf(entry)].filter((task) => isStraggling(task, opts));
        if (tasks.length > 0) {
            straggling.push({ entry, tasks });
        }
    }
    const ranked = straggling.map((each) => ({ ...each, ...rank(each.entry, opts) }));
    ranked.sort((a, b) => a.group - b.group || a.priority - b.priority || a.workCoreMs - b.workCoreMs);
    return ranked.flatMap(({ tasks }) => tasks);
}

function rank(entry: SubmissionEntry, { policy, estimates, nowMs }: StragglerOptions) {
    return {
        group: entry.isExcess ? 1 : 0,
        priority: queueOf(policy, entry.submission).priority,
        workCoreMs: estimateRemaining(entry, estimates, nowMs).workCoreMs,
    };
}

/** Adds speculative runs on other workers, in the order of the tasks and as far as the gate allows, and returns them. */
export function planSpeculativeRuns(stragglers: readonly Task[], opts: SpeculationOptions): readonly Run[] {
    return stragglers.flatMap((task) => {
        const { entry, runs } = task;
        const queue = queueOf(opts.policy, entry.submission);
        const excluded = new Set(runs.map(({ worker }) => worker));
        return opts.gate.place({ entry, queue, tasks: [task] }, opts.workersOf(queue.service), excluded);
    });
}

function hasSpeculativeStep(steps: readonly Task["step"][]): boolean {
    return steps.some(({ isSpeculative }) => isSpeculative);
}

function isStraggling(task: Task, { estimates, nowMs }: StragglerOptions): boolean {
    const [run] = task.runs;
    if (!task.step.isSpeculative || task.phase !== "waiting" || run === undefined || task.runs.length >= maxRuns) {
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
