import type { Resources } from "../resources";
import type { Step, Submission } from "../submissions";

/**
 * Where one start of a task stands.
 *
 * - `recording`: its record is on its way to the store; no order has left.
 * - `starting`: the order has left and is not answered.
 * - `unconfirmed`: taken from the record of an earlier owner; the worker has not been asked yet.
 * - `running`: the worker has it.
 * - `stopping`: a stop has been decided; the room is taken until the worker lists the end.
 */
export type RunPhase = "recording" | "starting" | "unconfirmed" | "running" | "stopping";

/** One start of a task on one worker. */
export interface Run {
    readonly task: Task;
    readonly number: number;
    /** The latest life of the worker that may have it. */
    worker: Worker;
    phase: RunPhase;
    readonly plannedAtMs: number;
    /** When an order about this run was last answered, on the steady clock; later looks at the worker show it. */
    answeredAtMs: number;
    /** Share of the work that is done, 0 to 100; for long-running tasks 100 while at work. */
    percent: number;
    /** When `percent` last rose. */
    progressAtMs: number;
    /** When the run first showed in the worker's list. */
    seenAtMs: number | undefined;
    checkpoint: string;
    /** Latest figure of the worker for the run: latency of a serving task in ms, processor use of another. */
    measure: number;
    /** Share of the processor that a filler is allowed, 0 to 100. */
    pacePercent: number;
    /** Why it is being stopped. */
    stopReason: string | undefined;
    isStopSent: boolean;
}

export type TaskPhase = "waiting" | "done" | "failed";

export interface Task {
    readonly name: string;
    readonly owner: SubmissionEntry;
    readonly occurrence: number;
    readonly stepNumber: number;
    readonly step: Step;
    readonly index: number;
    phase: TaskPhase;
    /** Highest number used for a start. */
    lastRun: number;
    /** Numbers of the runs that ended as failed; their count is the number of attempts used up. */
    readonly failedRuns: Set<number>;
    /** Numbers of the ordered runs that were given up without an end; one that shows again was given up too early. */
    readonly droppedRuns: Set<number>;
    checkpoint: string;
    readonly runs: Run[];
    /** Not started before this time, on the steady clock. */
    notBeforeMs: number;
    /** Workers where it failed. */
    readonly failedOn: Set<string>;
    /** When it last had nothing running, on the steady clock. */
    waitingSinceMs: number;
}

/** One run through all steps of a submission. */
export interface Occurrence {
    readonly number: number;
    readonly tasks: readonly (readonly Task[])[];
    readonly dueAtMs: number;
}

export interface SubmissionEntry {
    readonly submission: Submission;
    /** Revision of its record in the store. */
    revision: number;
    /** Revision of the owner's progress record; 0 where there is none. */
    progressRevision: number;
    isCancelled: boolean;
    hasBegun: boolean;
    readonly occurrences: Occurrence[];
    /** The end that has been decided; shown once it is in the store. */
    ending: "complete" | "failed" | "cancelled" | undefined;
    readonly seenAtMs: number;
    /** Availability zone of the worker that a task of it was placed on last; `undefined`: of none yet. */
    zone: string | undefined;
    /** What the order goes by, as it was worked out last. */
    outlook: Outlook | undefined;
}

/** What a submission still has before it. */
export interface Outlook {
    /** Core-milliseconds. */
    readonly workCoreMs: number;
    /** Longest chain of steps from now on, and of all steps, in milliseconds. */
    readonly chainMs: number;
    readonly wholeChainMs: number;
    /** When it was worked out, on the steady clock. */
    readonly atMs: number;
}

/** A reading of a worker's clock: it showed `workerMs` at some time between the two readings of ours. */
export interface ClockReading {
    readonly workerMs: number;
    readonly sentAtMs: number;
    readonly receivedAtMs: number;
    /** Call whose answer showed it. */
    readonly from: "start" | "stop" | "list";
}

/**
 * What a worker runs, as far as this tenure has been shown it.
 *
 * - `unread`: not yet, whatever else the worker has answered; an earlier owner may have ordered anything there.
 * - `read`: the worker has seen this tenure's token and has shown its list.
 */
export type RunList =
    | { readonly kind: "unread"; }
    | {
        readonly kind: "read";
        /** When the first list came, on the steady clock. */
        readonly firstReadAtMs: number;
        /** When the latest list was asked for, on the steady clock. */
        readonly askedAtMs: number;
    };

/** One life of a machine. */
export interface Worker {
    readonly id: string;
    /** Start of this life, milliseconds since 1970; tells lives under the same id apart. */
    readonly bornMs: number;
    address: string;
    pool: string;
    zone: string;
    rack: string;
    labels: readonly string[];
    capacity: Resources;
    isDraining: boolean;
    /** How much longer a draining worker stays at least, in milliseconds. */
    drainLeftMs: number;
    /** Its entry stands in the store. */
    isListed: boolean;
    runList: RunList;
    /** The last call was answered. */
    isReachable: boolean;
    /** Its availability zone is under evacuation: what runs may end, nothing new is started. */
    isEvacuated: boolean;
    /** Kept free of new work, to be moved or maintained. */
    isReserved: boolean;
    clock: ClockReading | undefined;
    /** Latest time on the worker's clock until which a lease may run, among those that this tenure knows of. */
    leaseUntilWorkerMs: number;
    /** When it last answered any call, on the steady clock. */
    answeredAtMs: number;
    /** When runs ordered of an earlier life came to it last, on the steady clock; `undefined`: none has. */
    inheritedAtMs: number | undefined;
    /** Highest number of its ends that has been recorded. */
    ackedEnd: number;
    readonly runs: Set<Run>;
    /** Room taken by runs, fillers without their processors. */
    used: { cpuMillis: number; memoryMb: number; accelerators: number; };
    /** Runs that it lists and that belong to no task any more; they take room until they end. */
    strays: number;
    readonly outcomes: WorkerOutcomes;
    /** When it last had something to run, on the steady clock. */
    idleSinceMs: number;
}

/** What tells a sound worker from one that fails all it starts. */
export interface WorkerOutcomes {
    /** Submissions whose tasks failed since the last success, each counted once. */
    readonly failedSubmissions: Set<string>;
    lastSuccessAtMs: number;
    lastFailureAtMs: number;
    /** Stands still or works far too slowly since this time; 0: no. */
    quarantinedUntilMs: number;
}

/** All that an owner knows and decides on. */
export interface Board {
    readonly submissions: Map<string, SubmissionEntry>;
    readonly workers: Map<string, Worker>;
    /** What each tenant has running or may have running. */
    readonly tenantUse: Map<string, { cpuMillis: number; memoryMb: number; accelerators: number; }>;
}

export function createBoard(): Board {
    return { submissions: new Map(), workers: new Map(), tenantUse: new Map() };
}
