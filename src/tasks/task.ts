import type { Problem } from "../errors";
import type { TaskSize } from "../workers";

/** A checked task of an authenticated team. */
export interface TaskRequest {
    /** Made by the entry that took the request; stands in every log line about it. */
    readonly id: string;
    readonly team: string;
    /** Public name of the key that came with the task; absent where the task came without one. */
    readonly keyId?: string;
    readonly pool: string;
    readonly size: TaskSize;
    readonly expectedRunMs: number;
    /** The task must have started by this moment, in milliseconds of this entry's clock. */
    readonly deadlineAtMs: number;
    readonly urgent: boolean;
    readonly repeatable: boolean;
    readonly idempotencyKey?: string;
    readonly payload: string;
}

/** How a task ended, as its caller is told. */
export type TaskEnd =
    | { readonly kind: "answered"; readonly body: string; readonly instance: string; }
    | { readonly kind: "problem"; readonly problem: Problem; };

export interface Tasks {
    /** Runs a task to its end; an aborted signal cancels it. */
    run(request: TaskRequest, signal: AbortSignal): Promise<TaskEnd>;
    /** Tasks that have been taken and have not ended. */
    runningCount(): number;
}
