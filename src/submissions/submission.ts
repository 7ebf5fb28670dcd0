import type { Resources } from "../resources";

/** Equal tasks of a submission that may run side by side. */
export interface Step {
    readonly count: number;
    readonly size: Resources;
    /** Rough, as the client declared it. */
    readonly estimateMs: number;
    /** Numbers of earlier steps that have to be done first. */
    readonly after: readonly number[];
    readonly hasCheckpoints: boolean;
    /** All tasks work only together and end together. */
    readonly isGang: boolean;
    /** The tasks are slower when they run on more than one rack. */
    readonly isSingleRack: boolean;
    /** Label that the worker must have. */
    readonly workerLabel: string | undefined;
    /** Rack where the data lies; elsewhere the tasks are slower. */
    readonly dataRack: string | undefined;
    /** Tasks of one occurrence on one worker at most; 0 for no limit. */
    readonly maxPerWorker: number;
    /** Copies of a task may run in parallel; the first to finish counts. */
    readonly isSpeculative: boolean;
    /** The tasks run until the submission is cancelled and are restarted however they end. */
    readonly isLongRunning: boolean;
    /** What the tasks run; tasks of one image behave alike. */
    readonly image: string | undefined;
    /** Latency that users of a long-running task should see at most; 0 for none. */
    readonly targetLatencyMs: number;
    /** The tasks take the processor time that others leave, and reserve none. */
    readonly isFiller: boolean;
    /** Tasks of the step that may be away at once by the system's doing. */
    readonly maxUnavailable: number;
}

/** Steps that run `repeats` times at fixed intervals; 0 repeats for once, at once. */
export interface Schedule {
    readonly repeats: number;
    readonly startAtMs: number;
    readonly intervalMs: number;
}

/** What a client handed in. */
export interface SubmissionRequest {
    readonly id: string;
    /** Passed to the workers as it came. */
    readonly payload: string;
    readonly steps: readonly Step[];
    readonly schedule: Schedule;
}

export interface Submission extends SubmissionRequest {
    /** The client account whose key came with it; `undefined` on public routes. */
    readonly tenant: string | undefined;
    readonly route: string;
    readonly service: string;
    readonly acceptedAtMs: number;
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
