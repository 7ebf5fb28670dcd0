/** Target of a call: the worker's id, and the address of the intended incarnation. */
export interface WorkerTarget {
    readonly id: string;
    readonly address: string;
}

/** Request to start a run of a task. */
export interface StartRequest {
    readonly task: string;
    readonly run: number;
    readonly payload: string;
    /** Checkpoint to resume from; empty for none. */
    readonly checkpoint: string;
    /** Time on the worker's clock at which both the request and the run's lease expire. */
    readonly leaseUntilMs: number;
    /** Fencing token of the tenure. */
    readonly token: number;
    /** Permit of the advice service, where the queue needs one. */
    readonly ticket: string | undefined;
}

/** The outcome is unknown: the call may not have arrived, or may be carried out seconds later. */
export interface NoAnswer {
    readonly kind: "noAnswer";
    readonly detail: string;
}

/** Another worker, or another incarnation of it, is at this address; the intended one has ended. */
export interface OtherIncarnation {
    readonly kind: "otherLife";
}

/** The worker has seen a higher fencing token: another entry is leader now. */
export interface Fenced {
    readonly kind: "fenced";
}

/**
 * Answer to a start request. Reasons of a refusal:
 *
 * - `oldRun`: the worker has been told to start a later run of the task, or to stop this one or a later one.
 * - `late`: the request arrived after `leaseUntilMs` by the worker's clock.
 * - `noRoom`: the worker has not enough free capacity for the task.
 * - `noTicket`: the request has no ticket that the worker accepts.
 * - `invalid`: the worker rejected the request for any other reason, such as its format.
 * - `unhealthy`: the worker takes no new work, or the request could not be sent.
 */
export type StartResult =
    | { readonly kind: "started"; readonly workerMs: number; }
    | {
        readonly kind: "refused";
        readonly reason: "oldRun" | "late" | "noRoom" | "noTicket" | "invalid" | "unhealthy";
        readonly workerMs: number | undefined;
    }
    | Fenced
    | OtherIncarnation
    | NoAnswer;

/** Answer to a stop or pace request; `taken`: the worker has accepted it. */
export type RequestResult =
    | { readonly kind: "taken"; readonly workerMs: number; }
    | Fenced
    | OtherIncarnation
    | NoAnswer;

/** A run in a worker's list of what runs. */
export interface ListedRun {
    readonly task: string;
    readonly run: number;
    readonly checkpoint: string;
    readonly percent: number;
    /** For a serving task its latency in milliseconds, for any other its processor use in thousandths. */
    readonly measure: number;
}

/**
 * How a run ended, as its worker reports it; `lapsed`: its lease expired. Only `done` and `failed` are outcomes of the
 * task. Any other end leaves the task's phase as it is.
 */
export type EndKind = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

/** The end of a run, listed by its worker until it is acknowledged. */
export interface ListedEnd {
    /** Sequence number; rises by one with each end in an incarnation. */
    readonly number: number;
    readonly task: string;
    readonly run: number;
    readonly how: EndKind;
    readonly checkpoint: string;
}

/** Long poll that lists what runs and what has ended, and renews leases. */
export interface PollRequest {
    /** Fencing token of the tenure. */
    readonly token: number;
    /** Sequence number up to which the worker may discard ends. */
    readonly ackedEnd: number;
    /** Time on the worker's clock to which the leases of all its runs are extended; `undefined` for no extension. */
    readonly leaseUntilMs: number | undefined;
    /** Longest time for which the worker holds the poll until a run ends, in milliseconds. */
    readonly waitMs: number;
}

export type PollResult =
    | {
        readonly kind: "listed";
        readonly workerMs: number;
        /** Start of the worker's incarnation, in milliseconds since 1970; `undefined` if it does not report it. */
        readonly bornMs: number | undefined;
        readonly running: readonly ListedRun[];
        readonly ended: readonly ListedEnd[];
        /** Whether `ended` has all unacknowledged ends; a worker limits how many it lists at a time. */
        readonly areEndsComplete: boolean;
    }
    | Fenced
    | OtherIncarnation
    | NoAnswer;

/** Client of the workers. Implementations make no decisions and do not retry. */
export interface WorkerApi {
    /** Starts a run. */
    start(worker: WorkerTarget, request: StartRequest): Promise<StartResult>;
    /** Stops a run, or prevents one that has not arrived yet from starting. */
    stop(worker: WorkerTarget, task: string, run: number, token: number): Promise<RequestResult>;
    /** Lists what runs and what has ended, and renews leases. */
    poll(worker: WorkerTarget, request: PollRequest): Promise<PollResult>;
    /** Limits the processor use of a filler's run, in percent, 0 to 100. */
    pace(worker: WorkerTarget, task: string, run: number, percent: number, token: number): Promise<RequestResult>;
}
