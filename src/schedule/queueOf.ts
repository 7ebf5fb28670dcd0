import type { Policy, QueueConfig } from "../policy";
import type { Submission } from "../submissions";

/** Maximum number of attempts of a task whose queue is no longer configured. */
const removedQueueMaxAttempts = 2;

/**
 * Stretch of a queue that is no longer configured. With this, a latency target of 0 and the lowest priority, its
 * submissions get no precedence.
 */
const removedQueueStretch = 1;

/** Queues by name, for each policy. Each waiting submission needs a lookup among up to a few thousand queues. */
const queueIndexes = new WeakMap<Policy, ReadonlyMap<string, QueueConfig>>();

function indexQueues(policy: Policy): ReadonlyMap<string, QueueConfig> {
    const index = queueIndexes.get(policy) ?? new Map(policy.queues.map((queue) => [queue.name, queue]));
    queueIndexes.set(policy, index);
    return index;
}

/**
 * Configuration of a submission's queue. Submissions that were accepted before operators removed their queue still run
 * to their end, in the pool (`service`) that the queue had when they were accepted.
 */
export function queueOf(policy: Policy, { route, service, tenant }: Submission): QueueConfig {
    return indexQueues(policy).get(route) ?? {
        name: route,
        host: "",
        pathPrefix: "",
        service,
        isPublic: tenant === undefined,
        priority: Number.MAX_SAFE_INTEGER,
        maxAttempts: removedQueueMaxAttempts,
        stretch: removedQueueStretch,
        targetLatencyMs: 0,
        timeoutMs: 0,
        advice: undefined,
    };
}
