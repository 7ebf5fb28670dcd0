import type { QueueTerms } from "../policy";
import type { Resources } from "../resources";

/** A step of a submission: equal tasks that may run in parallel. */
export interface Step {
    readonly count: number;
    readonly size: Resources;
    /** Expected run time of one task, a rough figure that the client declares. */
    readonly estimateMs: number;
    /** Indexes of earlier steps that have to be complete first. */
    readonly after: readonly number[];
    /** The tasks write checkpoints. */
    readonly hasCheckpoints: boolean;
    /** Gang: the tasks make progress only while all of them run, and they end together. */
    readonly isGang: boolean;
    /** The tasks are slower when they are spread over more than one rack. */
    readonly isSingleRack: boolean;
    /** Label that a worker must have to run the tasks; `undefined` for any worker. */
    readonly workerLabel: string | undefined;
    /** Rack that holds the data; on other racks the tasks are slower. */
    readonly dataRack: string | undefined;
    /** Most tasks of one occurrence on one worker; 0 for no limit. */
    readonly maxPerWorker: number;
    /** Speculative runs of a task are allowed in parallel; the first to finish counts. */
    readonly isSpeculative: boolean;
    /** The tasks run until the submission is cancelled, and are restarted whenever they end. */
    readonly isLongRunning: boolean;
    /** Image that the tasks run. Tasks of one image are assumed to behave alike. */
    readonly image: string | undefined;
    /** Target for the highest latency that users of a long-running task see; 0 for none. */
    readonly targetLatencyMs: number;
    /** Filler: the tasks use processor time that other tasks leave idle, and reserve none. */
    readonly isFiller: boolean;
    /** Most tasks of the step that may be stopped by the system itself at the same time, for example to move them. */
    readonly maxUnavailable: number;
}

/** When the steps run: `repeats` times at fixed intervals, or once and immediately where `repeats` is 0. */
export interface Schedule {
    readonly repeats: number;
    /** Start of the first occurrence, in milliseconds since 1970. */
    readonly startAtMs: number;
    readonly intervalMs: number;
}

/** A submission as the client sends it. */
export interface SubmissionRequest {
    readonly id: string;
    /** Passed to the workers unchanged. */
    readonly payload: string;
    readonly steps: readonly Step[];
    readonly schedule: Schedule;
}

/** An accepted submission. */
export interface Submission extends SubmissionRequest {
    /** Client account whose API key was sent with it; `undefined` for public queues. */
    readonly tenant: string | undefined;
    /** Name of the queue. */
    readonly route: string;
    /** Name of the pool that the queue had when the submission was accepted. */
    readonly service: string;
    /** Milliseconds since 1970. */
    readonly acceptedAtMs: number;
    /** Terms of the queue when the submission was accepted; missing in records of builds that did not write them. */
    readonly terms?: QueueTerms;
    /** Limit of the client account when the submission was accepted; missing in records of builds that did not write it. */
    readonly accountCap?: Resources;
}

export const SubmissionState = {
    pending: "pending",
    running: "running",
    complete: "complete",
    failed: "failed",
    cancelled: "cancelled",
} as const;
export type SubmissionState = (typeof SubmissionState)[keyof typeof SubmissionState];

export type FinalState = "complete" | "failed" | "cancelled";
