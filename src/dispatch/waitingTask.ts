import type { TaskEnd } from "../tasks";
import type { DispatchRequest } from "./dispatch";

/** A task from its arrival to its end, with the state that its attempts share. */
export interface WaitingTask extends DispatchRequest {
    readonly arrivedAtMs: number;
    /** Instances that can't hold the task, or on which an attempt failed or had an unknown outcome. */
    readonly excludedInstances: Set<string>;
    /** How many times the task was selected to start. */
    turns: number;
    /** Attempts that a worker may have started. */
    startedAttempts: number;
    /** True once `beforeSend` has succeeded; it isn't called again for later attempts. */
    isClaimed: boolean;
    isEnded: boolean;
    /** When the task ends if it still waits, in milliseconds of this entry's clock. */
    expiresAtMs: number;
    /** End of the latest attempt that is retried; it is the task's end if no later attempt runs. */
    lastEnd?: TaskEnd;
    /** State that a worker saved when the task was preempted; the next attempt continues from it. */
    checkpoint?: string;
    end(end: TaskEnd): void;
}
