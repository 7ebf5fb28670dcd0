import type { Either } from "purify-ts";

/** Resources that a task asks for. */
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

/** One attempt to run one task on one worker. */
export interface TaskOrder {
    /** Unique for each attempt; the worker returns it with the answer. */
    readonly attempt: string;
    readonly team: string;
    readonly pool: string;
    /** The instance's assignment number as the entry knows it; the worker refuses a lower one than its own. */
    readonly assignmentNumber: number;
    /** The worker ends the task when the lease is not renewed for this long. */
    readonly leaseMs: number;
    /** The boot of the entry that holds the lease. */
    readonly holder: string;
    readonly size: TaskSize;
    /** True where the task may be checkpointed and run again elsewhere; the worker reports it with its usage. */
    readonly isRepeatable?: boolean;
    readonly payload: string;
    /** What a worker saved when the task was stopped before; the task goes on from there. */
    readonly checkpoint?: string;
}

/**
 * How an attempt ended.
 *
 * - `answered`: the worker ran the task and this is its whole answer.
 * - `failed`: the worker ran the task, which failed.
 * - `stopped`: the worker started the task and ended it early (a lapsed lease, a stop, a checkpoint).
 * - `notRun`: the worker refused, or no byte of the order left this process; the attempt can never run.
 * - `unknown`: the order may have been taken; nothing more can be told.
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

/** What a worker reports of itself; it lags behind the truth. */
export interface WorkerUsage {
    readonly slots: number;
    readonly runningTasks: number;
    readonly size: TaskSize;
    readonly state: "serving" | "draining" | "rebooting";
    readonly assignmentNumber: number;
    /** Changes with each reboot of the worker. */
    readonly workerBoot: string;
    readonly tasks: readonly {
        readonly attempt: string;
        readonly team: string;
        readonly pool: string;
        readonly holder: string;
        /** Absent: not known, and so not to be stopped. */
        readonly isRepeatable?: boolean;
    }[];
}

export interface WorkerFailure {
    readonly kind: "unavailable" | "refused";
    readonly detail: string;
}

export type StopMode = "stop" | "checkpoint" | "throttle";

/** A batch of leases of one worker that one holder renews. */
export interface LeaseRenewal {
    readonly holder: string;
    readonly attempts: readonly string[];
    readonly leaseMs: number;
}

/**
 * Takes the worker out of service, restarts it, or puts it into service in a pool.
 * Each carries an assignment number; the worker refuses one lower than its own, so that an order sent by an
 * executor which was paused has no effect.
 */
export type WorkerNotice =
    | { readonly kind: "drain"; readonly assignmentNumber: number; }
    | { readonly kind: "reboot"; readonly assignmentNumber: number; }
    | { readonly kind: "serve"; readonly assignmentNumber: number; readonly pool: string; };

/** What workers offer; an adapter keeps the details of the wire. */
export interface Workers {
    /** Runs a task to its end. An aborted signal gives `unknown` once the order may have left. */
    runTask(worker: WorkerAddress, order: TaskOrder, signal?: AbortSignal): Promise<TaskResult>;
    /** Gives the attempts that the worker no longer runs. */
    renewLeases(worker: WorkerAddress, renewal: LeaseRenewal): Promise<Either<WorkerFailure, readonly string[]>>;
    stopTask(worker: WorkerAddress, attempt: string, mode: StopMode): Promise<Either<WorkerFailure, void>>;
    readUsage(worker: WorkerAddress): Promise<Either<WorkerFailure, WorkerUsage>>;
    notify(worker: WorkerAddress, notice: WorkerNotice): Promise<Either<WorkerFailure, void>>;
    close(): Promise<void>;
}
