import type { Problem } from "../errors";
import type { TaskEnd, TaskRequest } from "../tasks";

/** A task to run, with its cancellation signal and a check to run right before it is first sent. */
export interface DispatchRequest {
    readonly task: TaskRequest;
    readonly signal: AbortSignal;
    /**
     * Called once a worker and free capacity in the team's limit are found, before the first send. It isn't called
     * again for a later attempt once it has succeeded. A returned problem ends the task.
     */
    beforeSend(): Promise<Problem | undefined>;
}

/** Numbers of tasks, for metrics. */
export interface DispatchCounts {
    readonly waiting: number;
    readonly running: number;
    /** Attempts whose outcome is unknown and whose capacity in the team's limit is still held. */
    readonly lingering: number;
}

export interface Dispatch {
    /** Queues a task, places it on a worker, runs it, and resolves with how it ended. */
    run(request: DispatchRequest): Promise<TaskEnd>;
    /** Tasks of this entry that wait or that a worker may be running. */
    runningCount(): number;
    counts(): DispatchCounts;
    start(): void;
    /** Waits until no worker can still be running a task of this entry, then stops the timers. */
    stop(): Promise<void>;
}
