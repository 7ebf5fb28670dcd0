import { defaultTaskMs } from "./declaredCriticalPathMs";
import type { Step, Submission } from "./submission";

/** Work of one occurrence by the durations that the client declares, in core-milliseconds; long-running tasks don't count. */
function declaredWorkCoreMs(steps: readonly Step[]): number {
    let work = 0;
    for (const { count, estimateMs, size, isLongRunning } of steps) {
        work += isLongRunning ? 0 : count * (estimateMs || defaultTaskMs) * size.cpuMillis / 1000;
    }
    return work;
}

/**
 * Size by which a submission is compared with others of its queue: its declared work, in core-milliseconds. `undefined`
 * for one that is repeated or has long-running steps.
 */
export function sizeCoreMs({ steps, schedule }: Pick<Submission, "steps" | "schedule">): number | undefined {
    return schedule.repeats > 0 || steps.some(({ isLongRunning }) => isLongRunning)
        ? undefined
        : declaredWorkCoreMs(steps);
}
