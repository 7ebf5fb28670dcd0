import type { Policy, QueueConfig, QueueTerms } from "../policy";
import type { Submission } from "../submissions";

/** What scheduling needs to know of a submission's queue. */
export type SubmissionQueue = Pick<QueueConfig, "service"> & Omit<QueueTerms, "maxAttempts">;

/** Ranks a submission whose queue is not known behind all others. */
const unknownQueueTerms = {
    priority: Number.MAX_SAFE_INTEGER,
    stretch: 1,
    targetLatencyMs: 0,
    advice: undefined,
} as const;

/** Queues by name, for each policy. Each waiting submission needs a lookup among up to a few thousand queues. */
const queueIndexes = new WeakMap<Policy, ReadonlyMap<string, QueueConfig>>();

function findConfigured(policy: Policy, { route }: Submission): QueueConfig | undefined {
    const index = queueIndexes.get(policy) ?? new Map(policy.queues.map((queue) => [queue.name, queue]));
    queueIndexes.set(policy, index);
    return index.get(route);
}

/**
 * The queue of a submission: as it is configured now or, after operators have removed or renamed it, in the pool and on
 * the terms under which the submission was accepted.
 */
export function queueOf(policy: Policy, submission: Submission): SubmissionQueue {
    return findConfigured(policy, submission)
        ?? { ...submission.terms ?? unknownQueueTerms, service: submission.service };
}

/**
 * Number of failed runs of one task after which the submission fails; `undefined` while it is not known.
 *
 * It is the number under which the submission was accepted. A submission that has failed can't be resumed, so the number
 * does not depend on which version of the configuration has been read. A record of a build that did not write the number
 * has that of its queue as it is configured.
 */
export function findMaxAttempts(policy: Policy | undefined, submission: Submission): number | undefined {
    if (submission.terms !== undefined) {
        return submission.terms.maxAttempts;
    }
    return policy === undefined ? undefined : findConfigured(policy, submission)?.maxAttempts;
}
