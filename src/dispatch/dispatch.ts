import type { Problem } from "../errors";
import type { TaskEnd, TaskRequest } from "../tasks";

/** A task that waits for its turn, with what has to be done right before it is sent. */
export interface DispatchRequest {
    readonly task: TaskRequest;
    readonly signal: AbortSignal;
    /** Called once a worker and room in the limit are found, before the first send; a problem ends the task. */
    beforeSend(): Promise<Problem | undefined>;
}

/** Numbers for metrics. */
export interface DispatchCounts {
    readonly waiting: number;
    readonly running: number;
    /** Tries whose end is not known and whose room in the limit is still kept. */
    readonly lingering: number;
}

export interface Dispatch {
    /** Queues a task, places it, runs it, and tells how it ended. */
    run(request: DispatchRequest): Promise<TaskEnd>;
    /** Tasks of this entry that a worker may be running. */
    runningCount(): number;
    counts(): DispatchCounts;
    start(): void;
    /** Waits until no worker can be running a task of this entry any more. */
    stop(): Promise<void>;
}
