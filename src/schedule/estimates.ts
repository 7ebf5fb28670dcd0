import { defaultTaskMs, type Step } from "../submissions";
import type { Occurrence, Run, SubmissionEntry, Task } from "./schedulerState";
import { isStepReady } from "./submissionEntries";

/** Estimates run durations from declared durations, corrected by the observed ratio of each queue. */
export interface DurationEstimates {
    /** Records the actual duration of a run that ended as done, in milliseconds. */
    recordDuration(queue: string, declaredMs: number, tookMs: number): void;
    /** Expected duration of one run of the task, in milliseconds. */
    expectedDurationMs(task: Task): number;
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

/** Remaining work of a submission, in core-milliseconds; long-running tasks don't count. */
export function remainingWorkCoreMs(entry: SubmissionEntry, estimates: DurationEstimates): number {
    let work = 0;
    for (const { tasks } of entry.occurrences) {
        for (const step of tasks) {
            const first = step[0];
            if (first === undefined || first.step.isLongRunning) {
                continue;
            }
            const left = step.reduce((sum, task) => task.phase === "done" ? sum : sum + 1 - doneShare(task.runs), 0);
            work += left * estimates.expectedDurationMs(first) * first.step.size.cpuMillis / 1000;
        }
    }
    return work;
}

/** Shortest time in which a submission can still end, in milliseconds: the remaining length of its critical path. */
export function remainingCriticalPathMs(entry: SubmissionEntry, estimates: DurationEstimates): number {
    return Math.max(0, ...entry.occurrences.map((occurrence) => criticalPathMs(occurrence, estimates, remainingShare)));
}

/** Length of a submission's critical path over all steps, done or not, in milliseconds; the same in each occurrence. */
export function fullCriticalPathMs({ occurrences }: SubmissionEntry, estimates: DurationEstimates): number {
    const [first] = occurrences;
    return first === undefined ? 0 : criticalPathMs(first, estimates, () => 1);
}

/**
 * Length of the critical path of an occurrence, in milliseconds.
 *
 * @param shareOf the share of a step's duration that counts, 0 to 1
 */
function criticalPathMs(
    { tasks }: Occurrence,
    estimates: DurationEstimates,
    shareOf: (step: readonly Task[]) => number,
): number {
    const endsMs: number[] = [];
    for (const step of tasks) {
        const first = step[0];
        const startMs = Math.max(0, ...(first?.step.after ?? []).map((earlier) => endsMs[earlier] ?? 0));
        endsMs.push(startMs + (first === undefined ? 0 : shareOf(step) * estimates.expectedDurationMs(first)));
    }
    return Math.max(0, ...endsMs);
}

/** Share of a step's duration that remains, 0 to 1. */
function remainingShare(step: readonly Task[]): number {
    const open = step.filter(({ phase }) => phase !== "done");
    return Math.max(0, ...open.map(({ runs }) => 1 - doneShare(runs)));
}

/** Completed share of a task, 0 to 1: that of its most advanced run. */
function doneShare(runs: readonly Run[]): number {
    return runs.reduce((most, { percent }) => Math.max(most, percent), 0) / 100;
}

/** Processors requested by waiting tasks that are ready and have no run, in thousandths of a core. */
export function waitingCpuMillis(entry: SubmissionEntry, isCounted: (step: Step) => boolean = () => true): number {
    let cpuMillis = 0;
    for (const occurrence of entry.occurrences) {
        occurrence.tasks.forEach((step, number) => {
            if (step[0] !== undefined && isCounted(step[0].step) && isStepReady(occurrence, number)) {
                const waiting = step.filter(({ phase, runs }) => phase === "waiting" && runs.length === 0).length;
                cpuMillis += waiting * (step[0]?.step.size.cpuMillis ?? 0);
            }
        });
    }
    return cpuMillis;
}
