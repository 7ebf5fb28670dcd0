import type { Resources } from "../resources";

/** Configuration of a queue: which requests it takes, the pool that runs its tasks, and how they are scheduled. */
export interface QueueConfig {
    readonly name: string;
    readonly host: string;
    readonly pathPrefix: string;
    /** Name of the pool that runs its tasks. */
    readonly service: string;
    /** Requests need no API key. */
    readonly isPublic: boolean;
    /** 0 is the highest priority and may preempt the others. */
    readonly priority: number;
    /** Number of failed runs of one task after which its submission fails. */
    readonly maxAttempts: number;
    /** Target for the time that a submission takes, as a multiple of its critical path. */
    readonly stretch: number;
    /** Time that a submission may take beyond `stretch` times its critical path. */
    readonly targetLatencyMs: number;
    /** How long a request to the queue may take where the client sets no timeout. */
    readonly timeoutMs: number;
    /** If set, tasks of the queue may only run on workers that the advice service names. */
    readonly advice: AdviceConfig | undefined;
}

/** How the submissions of a queue are scheduled. Each keeps the terms under which it was accepted. */
export type QueueTerms = Pick<
    QueueConfig,
    "priority" | "maxAttempts" | "stretch" | "targetLatencyMs" | "advice"
>;

export function termsOf({ priority, maxAttempts, stretch, targetLatencyMs, advice }: QueueConfig): QueueTerms {
    return { priority, maxAttempts, stretch, targetLatencyMs, advice };
}

/** Times of the advice service for a queue. */
export interface AdviceConfig {
    readonly decisionMs: number;
    readonly perWorkerMs: number;
    readonly validityMs: number;
}

/** Configuration of a pool of machines. */
export interface PoolConfig {
    readonly name: string;
    /** Its workers reject tasks that don't fit. Workers of other pools start every task that they are told to. */
    readonly rejectsOverload: boolean;
    /** The standby pool: its machines are off and cost nothing. */
    readonly isStandby: boolean;
    readonly maxConnections: number;
}

/** A client account. */
export interface Tenant {
    readonly name: string;
    /** API keys of its clients. */
    readonly keys: readonly string[];
    /**
     * Rate to which it is entitled, in submissions per second, and weight of its share of the capacity that accounts beyond
     * their rate borrow. 0: no rate is set, and no submission counts as beyond it.
     */
    readonly weight: number;
    /** Most that its tasks may use at a time on all workers; 0 for no limit. */
    readonly cap: Resources;
}

/** Limits on clients' HTTP requests. */
export interface RequestLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** The operators' configuration. A version is confirmed once it is in the platform's store. */
export interface Policy {
    readonly version: number;
    readonly queues: readonly QueueConfig[];
    /** Pools by name. */
    readonly pools: ReadonlyMap<string, PoolConfig>;
    readonly tenants: readonly Tenant[];
    readonly limits: RequestLimits;
}

/** A maintenance wave: an operator's request to take each of these machines down for maintenance once. */
export interface Wave {
    /** Number that identifies the wave. */
    readonly wave: number;
    readonly machines: readonly string[];
    /** Time until which the wave has to be complete, in seconds since it was first seen. */
    readonly completeByS: number;
    /** Machines of the wave that may be down at once. */
    readonly maxDown: number;
}
