import type { Resources } from "../resources";
import type { Step } from "../submissions";
import type { SubmissionQueue } from "./queueOf";
import type { PlacementUnit } from "./rankSubmissions";

/**
 * What could not be placed on the workers of a pool in a planning round. Free capacity only shrinks during a round, so a
 * unit that needs at least as much as a failed one can't be placed either and need not be tried.
 */
export interface PlacementFailures {
    /** Number of units that were tried in vain. */
    count(): number;
    add(unit: PlacementUnit): void;
    /** Whether no task of a step can be placed, whatever its attempts. */
    coversStep(step: Step): boolean;
    coversUnit(unit: PlacementUnit): boolean;
}

export function createPlacementFailures(): PlacementFailures {
    /** Sizes of failed tasks without other demands than a label, by label. */
    const sizes = new Map<string, Resources[]>();
    /** Steps of which a task that has not failed before could not be placed. */
    const steps = new Set<string>();
    /** Steps of which a task that has failed before could not be placed. */
    const retriedSteps = new Set<string>();
    let count = 0;

    function coversSize({ workerLabel, isFiller, size }: Step): boolean {
        return [workerLabel, undefined].some((label) =>
            sizes.get(demandKey(label, isFiller))?.some((failed) => isAtMost(failed, size)) === true
        );
    }

    return {
        count: () => count,
        add(unit) {
            const [task] = unit.tasks;
            if (task === undefined) {
                return;
            }
            count++;
            if (isRetried(unit)) {
                retriedSteps.add(stepKey(unit));
                return;
            }
            steps.add(stepKey(unit));
            if (!hasOwnDemands(task.step, unit.queue)) {
                const key = demandKey(task.step.workerLabel, task.step.isFiller);
                sizes.set(key, [...sizes.get(key) ?? [], task.step.size]);
            }
        },
        coversStep: coversSize,
        coversUnit(unit) {
            const [task] = unit.tasks;
            return task === undefined || coversSize(task.step) || steps.has(stepKey(unit))
                || isRetried(unit) && retriedSteps.has(stepKey(unit));
        },
    };
}

/** Whether more than the size and the label decides where the tasks of a step fit. */
function hasOwnDemands(step: Step, queue: SubmissionQueue): boolean {
    return step.isGang || step.maxPerWorker > 0 || queue.advice !== undefined;
}

/** Whether a task of a unit has failed before: some workers don't take those. */
export function isRetried({ tasks }: PlacementUnit): boolean {
    return tasks.some(({ failedRuns }) => failedRuns.size > 0);
}

function isAtMost(failed: Resources, size: Resources): boolean {
    return failed.cpuMillis <= size.cpuMillis && failed.memoryMb <= size.memoryMb
        && failed.accelerators <= size.accelerators;
}

function demandKey(label: string | undefined, isFiller: boolean): string {
    return `${isFiller} ${label ?? ""}`;
}

function stepKey({ entry, tasks: [task] }: PlacementUnit): string {
    return `${entry.submission.id}.${task?.occurrence}.${task?.stepNumber}`;
}
