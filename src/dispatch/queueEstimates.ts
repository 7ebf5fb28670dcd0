import type { TeamQueue } from "./createTaskQueues";

/** A rate counts when it rests on this much. */
const minDrained = 5;
const minBacklogMs = 1000;
const maxRetryAfterSeconds = 60;

/** How long a task that arrives now would wait, in milliseconds; 0 where the rate is not known yet. */
export function estimateWaitMs(queue: TeamQueue): number {
    const backlogMs = Date.now() - queue.backlogAtMs;
    if (queue.drained < minDrained || backlogMs < minBacklogMs) {
        return 0;
    }
    return queue.size() * backlogMs / queue.drained;
}

/** When it is worth coming back, in whole seconds, by the rate at which the team's queue drains. */
export function retryAfterSeconds(queue: TeamQueue | undefined): number {
    const waitMs = queue === undefined ? 0 : estimateWaitMs(queue);
    return Math.min(maxRetryAfterSeconds, Math.max(1, Math.ceil(waitMs / 1000)));
}
