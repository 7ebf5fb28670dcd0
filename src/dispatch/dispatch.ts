import type { Problem } from "../errors";
import type { TaskEnd, TaskRequest } from "../tasks";

/** A task that waits for its turn, with what has to be done right before it is sent. */
export interface DispatchRequest {
    readonly task: TaskRequest;
    readonly signal: AbortSignal;
    /** Called once a worker and room in the limit are found, before the first send; a problem ends the task. */
    beforeSend(): Promise<Problem | undefined>;
}

export interface Dispatch {
    /** Queues a task, places it, runs it, and tells how it ended. */
    run(request: DispatchRequest): Promise<TaskEnd>;
    /** Tasks of this entry that a worker may be running. */
    runningCount(): number;
    start(): void;
    stop(): Promise<void>;
}
