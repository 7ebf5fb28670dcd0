import type { TeamQueue } from "./createTaskQueues";

/** The start rate is used only after this many starts and this long a backlog. */
const minDrained = 5;
const minBacklogMs = 1000;
const maxRetryAfterSeconds = 60;

/** Estimates how long a task that arrives now waits, in milliseconds; 0 while the start rate is unknown. */
export function estimateWaitMs(queue: TeamQueue): number {
    const backlogMs = Date.now() - queue.backlogSinceMs;
    if (queue.startedCount < minDrained || backlogMs < minBacklogMs) {
        return 0;
    }
    return queue.size() * backlogMs / queue.startedCount;
}

/** Estimates from the start rate of the team's queue when a refused caller should retry, in whole seconds. */
export function estimateRetryAfterSeconds(queue: TeamQueue | undefined): number {
    const waitMs = queue === undefined ? 0 : estimateWaitMs(queue);
    return Math.min(maxRetryAfterSeconds, Math.max(1, Math.ceil(waitMs / 1000)));
}
