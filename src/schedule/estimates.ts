import { defaultTaskMs, type Step } from "../submissions";
import type { Run, SubmissionEntry, Task } from "./schedulerState";
import { countIdle, countUnstarted, type StepTasks } from "./stepTasks";
import { isStepReady } from "./submissionEntries";

/** Estimates run durations from declared durations, corrected by the observed ratio of each queue. */
export interface DurationEstimates {
    /** Records the actual duration of a run that ended as done, in milliseconds. */
    recordDuration(queue: string, declaredMs: number, tookMs: number): void;
    /** Expected duration of one run of the task, in milliseconds. */
    expectedDurationMs(task: Pick<Task, "entry" | "step">): number;
}

/** Weight of a new sample in the moving average: about the last 20 runs count. */
const sampleWeight = 0.05;

/** Bounds the ratio of one sample, in both directions, so that one stalled run does not distort the average. */
const maxRatio = 4;

/**
 * Creates estimates without samples. Declared durations may be wrong by a factor of two or three in either direction,
 * for a whole queue or for single tasks. The moving average corrects the error of the queue. Ranking and speculative
 * runs use the result.
 */
export function createDurationEstimates(): DurationEstimates {
    const ratios = new Map<string, number>();
    return {
        recordDuration(queue, declaredMs, tookMs) {
            const ratio = Math.min(maxRatio, Math.max(1 / maxRatio, tookMs / Math.max(1, declaredMs)));
            const known = ratios.get(queue) ?? 1;
            ratios.set(queue, known + (ratio - known) * sampleWeight);
        },
        expectedDurationMs({ entry, step }) {
            return (step.estimateMs || defaultTaskMs) * (ratios.get(entry.submission.route) ?? 1);
        },
    };
}

/** Remaining work of a submission's occurrences, in core-milliseconds; long-running tasks don't count. */
export function remainingWorkCoreMs(entry: SubmissionEntry, estimates: DurationEstimates): number {
    let work = 0;
    for (const { steps } of entry.occurrences.values()) {
        for (const tasks of steps) {
            const { step, started, done } = tasks;
            if (step.isLongRunning) {
                continue;
            }
            let left = step.count - done.size;
            started.forEach(({ runs }) => left -= doneShare(runs));
            work += left * estimates.expectedDurationMs(tasks) * step.size.cpuMillis / 1000;
        }
    }
    return work;
}

/** Shortest time in which a submission can still end, in milliseconds: the remaining length of its critical path. */
export function remainingCriticalPathMs(entry: SubmissionEntry, estimates: DurationEstimates): number {
    let longestMs = 0;
    for (const { steps } of entry.occurrences.values()) {
        longestMs = Math.max(longestMs, criticalPathMs(entry, estimates, (number) => remainingShare(steps[number])));
    }
    return longestMs;
}

/** Length of the critical path of a submission's occurrences over all steps, done or not, in milliseconds. */
export function fullCriticalPathMs(entry: SubmissionEntry, estimates: DurationEstimates): number {
    return entry.addedOccurrences === 0 ? 0 : criticalPathMs(entry, estimates, () => 1);
}

/**
 * Length of the critical path of an occurrence, in milliseconds.
 *
 * @param shareOf the share of a step's duration that counts, 0 to 1
 */
function criticalPathMs(
    entry: SubmissionEntry,
    estimates: DurationEstimates,
    shareOf: (stepNumber: number) => number,
): number {
    const endsMs: number[] = [];
    for (const [number, step] of entry.submission.steps.entries()) {
        const startMs = Math.max(0, ...step.after.map((earlier) => endsMs[earlier] ?? 0));
        endsMs.push(startMs + shareOf(number) * estimates.expectedDurationMs({ entry, step }));
    }
    return Math.max(0, ...endsMs);
}

/** Share of a step's duration that remains, 0 to 1. */
function remainingShare(tasks: StepTasks | undefined): number {
    if (tasks === undefined) {
        return 0;
    }
    if (countUnstarted(tasks) > 0) {
        return 1;
    }
    let most = 0;
    tasks.started.forEach(({ runs }) => most = Math.max(most, 1 - doneShare(runs)));
    return most;
}

/** Completed share of a task, 0 to 1: that of its most advanced run. */
function doneShare(runs: readonly Run[]): number {
    return runs.reduce((most, { percent }) => Math.max(most, percent), 0) / 100;
}

/** Processors requested by waiting tasks that are ready and have no run, in thousandths of a core. */
export function waitingCpuMillis(entry: SubmissionEntry, isCounted: (step: Step) => boolean = () => true): number {
    let cpuMillis = 0;
    for (const occurrence of entry.occurrences.values()) {
        for (const tasks of occurrence.steps) {
            if (isCounted(tasks.step) && isStepReady(occurrence, tasks)) {
                cpuMillis += countIdle(tasks) * tasks.step.size.cpuMillis;
            }
        }
    }
    return cpuMillis;
}
