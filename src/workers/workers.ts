import type { Either } from "purify-ts";

/** Resources that a task requests. */
export interface TaskSize {
    readonly processors: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}

export interface WorkerAddress {
    /** The instance's name in the platform's list. */
    readonly instance: string;
    readonly url: string;
}

/** Request to run one attempt of a task on a worker. */
export interface RunTaskRequest {
    /** Unique id of the attempt; the worker returns it with the answer. */
    readonly attempt: string;
    readonly team: string;
    readonly pool: string;
    /** The instance's assignment number as the entry knows it; the worker refuses a number lower than its own. */
    readonly assignmentNumber: number;
    /** The worker ends the task if the lease isn't renewed for this long. */
    readonly leaseMs: number;
    /** Boot of the entry that holds the lease. */
    readonly holder: string;
    readonly size: TaskSize;
    /** True if the task may be checkpointed and run again elsewhere; the worker includes this in its usage report. */
    readonly isRepeatable?: boolean;
    readonly payload: string;
    /** State that a worker saved when the task was stopped earlier; the task continues from it. */
    readonly checkpoint?: string;
}

/**
 * Result of an attempt.
 *
 * - `answered`: the worker ran the task; `body` is its complete answer.
 * - `failed`: the worker ran the task, and the task failed.
 * - `stopped`: the worker started the task and ended it early (an expired lease, a stop, a checkpoint).
 * - `notRun`: the worker refused, or no byte of the request left this process; the attempt can never run.
 * - `unknown`: the worker may have accepted the request; its outcome can't be determined.
 */
export type TaskResult =
    | { readonly kind: "answered"; readonly body: string; }
    | { readonly kind: "failed"; readonly detail: string; }
    | { readonly kind: "stopped"; readonly reason: "lease" | "stop" | "checkpoint"; readonly checkpoint?: string; }
    | {
        readonly kind: "notRun";
        readonly reason: "busy" | "leaving" | "staleAssignment" | "unreachable" | "tooLarge";
    }
    | { readonly kind: "unknown"; readonly reason: "connectionLost" | "timeout" | "truncated" | "crossed"; };

/** A worker's report about itself; it lags behind the actual state. */
export interface WorkerUsage {
    readonly slots: number;
    readonly runningTasks: number;
    readonly size: TaskSize;
    readonly state: "serving" | "draining" | "rebooting";
    readonly assignmentNumber: number;
    /** Changes on each reboot of the worker. */
    readonly workerBoot: string;
    readonly tasks: readonly {
        readonly attempt: string;
        readonly team: string;
        readonly pool: string;
        readonly holder: string;
        /** If absent, it is unknown whether the task is repeatable, so it must not be stopped. */
        readonly isRepeatable?: boolean;
    }[];
}

/** Why a short call failed: no valid answer (`unavailable`), or a status other than 200 (`refused`). */
export interface WorkerFailure {
    readonly kind: "unavailable" | "refused";
    readonly detail: string;
}

/** What the worker does with a running task: end it, end it at a checkpoint, or throttle it. */
export type StopMode = "stop" | "checkpoint" | "throttle";

/** Leases at one worker that one holder renews together. */
export interface LeaseRenewal {
    readonly holder: string;
    readonly attempts: readonly string[];
    readonly leaseMs: number;
}

/**
 * Command that takes the worker out of service, reboots it, or puts it into service in a pool. The assignment number is
 * a fencing token: the worker refuses a number lower than its own, so that a command sent by an executor that was
 * paused has no effect.
 */
export type WorkerCommand =
    | { readonly kind: "drain"; readonly assignmentNumber: number; }
    | { readonly kind: "reboot"; readonly assignmentNumber: number; }
    | { readonly kind: "serve"; readonly assignmentNumber: number; readonly pool: string; };

/** Operations of workers; an adapter hides the wire protocol. */
export interface Workers {
    /**
     * Runs a task to its end. If the signal is aborted once the request may have been sent, the result is `unknown`.
     */
    runTask(worker: WorkerAddress, runRequest: RunTaskRequest, signal?: AbortSignal): Promise<TaskResult>;
    /** Renews leases and returns the attempts that the worker no longer runs. */
    renewLeases(worker: WorkerAddress, renewal: LeaseRenewal): Promise<Either<WorkerFailure, readonly string[]>>;
    stopTask(worker: WorkerAddress, attempt: string, mode: StopMode): Promise<Either<WorkerFailure, void>>;
    readUsage(worker: WorkerAddress): Promise<Either<WorkerFailure, WorkerUsage>>;
    sendCommand(worker: WorkerAddress, command: WorkerCommand): Promise<Either<WorkerFailure, void>>;
    close(): Promise<void>;
}
