/** A worker as calls reach it: the address, and the life that is meant. */
export interface WorkerTarget {
    readonly id: string;
    readonly address: string;
}

export interface StartOrder {
    readonly task: string;
    readonly run: number;
    readonly payload: string;
    /** Checkpoint to go on from; empty for none. */
    readonly checkpoint: string;
    /** Time on the worker's clock at which the order and the run's lease end. */
    readonly leaseUntilMs: number;
    readonly token: number;
    /** Permission of the advice service, where the queue needs one. */
    readonly ticket: string | undefined;
}

/** The call may not have arrived, or may be carried out seconds later. */
export interface NoAnswer {
    readonly kind: "noAnswer";
    readonly detail: string;
}

/** The worker at this address is another one, or another life of it; the one that was meant is gone. */
export interface OtherLife {
    readonly kind: "otherLife";
}

/** It has seen a higher token: somebody else decides now. */
export interface Fenced {
    readonly kind: "fenced";
}

export type StartResult =
    | { readonly kind: "started"; readonly workerMs: number; }
    | {
        readonly kind: "refused";
        readonly reason: "oldRun" | "late" | "noRoom" | "noTicket" | "invalid" | "unhealthy";
        readonly workerMs: number | undefined;
    }
    | Fenced
    | OtherLife
    | NoAnswer;

export type OrderResult = { readonly kind: "taken"; readonly workerMs: number; } | Fenced | OtherLife | NoAnswer;

export interface RunningRow {
    readonly task: string;
    readonly run: number;
    readonly checkpoint: string;
    readonly percent: number;
    /** Latency of a serving task in milliseconds; processor use of another in thousandths. */
    readonly measure: number;
}

export type EndKind = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

export interface EndRow {
    /** Rises by one with each end in a life. */
    readonly number: number;
    readonly task: string;
    readonly run: number;
    readonly how: EndKind;
    readonly checkpoint: string;
}

export interface LookOrder {
    readonly token: number;
    /** The worker may forget ends up to this number. */
    readonly ackedEnd: number;
    /** Extends everything that runs there until this time on the worker's clock. */
    readonly leaseUntilMs: number | undefined;
    /** How long the answer waits for an end, in milliseconds. */
    readonly waitMs: number;
}

export type LookResult =
    | {
        readonly kind: "listed";
        readonly workerMs: number;
        /** Start of the worker's life, milliseconds since 1970; `undefined` where it does not say. */
        readonly bornMs: number | undefined;
        readonly running: readonly RunningRow[];
        readonly ended: readonly EndRow[];
        /** Whether these are all ends that have not been acknowledged; a worker lists only so many at a time. */
        readonly areEndsComplete: boolean;
    }
    | Fenced
    | OtherLife
    | NoAnswer;

/** What workers offer; nothing here decides or tries again. */
export interface TaskWorkers {
    start(worker: WorkerTarget, order: StartOrder): Promise<StartResult>;
    stop(worker: WorkerTarget, task: string, run: number, token: number): Promise<OrderResult>;
    look(worker: WorkerTarget, order: LookOrder): Promise<LookResult>;
    pace(worker: WorkerTarget, task: string, run: number, percent: number, token: number): Promise<OrderResult>;
}
