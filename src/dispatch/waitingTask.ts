import type { TaskEnd } from "../tasks";
import type { DispatchRequest } from "./dispatch";

/** A task from its arrival to its end. */
export interface WaitingTask extends DispatchRequest {
    readonly arrivedAtMs: number;
    /** Instances that refused it for good, or on which a try of it failed. */
    readonly tried: Set<string>;
    /** How often its turn has come. */
    turns: number;
    /** Tries that a worker may have started. */
    startedTries: number;
    /** True once `beforeSend` has succeeded; it is not asked again for another try. */
    isClaimed: boolean;
    isEnded: boolean;
    /** When it is given up if it still waits, in milliseconds of this entry's clock. */
    expiresAtMs: number;
    /** How its latest try ended, where one was started. */
    lastEnd?: TaskEnd;
    /** True where the team's limit had no room when its turn came. */
    lacksRoom: boolean;
    /** What the worker saved when the task was stopped for others. */
    checkpoint?: string;
    end(end: TaskEnd): void;
}
