import type { Resources } from "../resources";
import type { Step, Submission } from "../submissions";
import type { IndexRanges } from "./createIndexRanges";
import { createServiceShares, type ServiceShares } from "./createServiceShares";
import type { SizeClass } from "./createSizeClassifier";
import type { StartHistory } from "./recordStart";
import type { StepTasks } from "./stepTasks";

/**
 * State of one run.
 *
 * - `recording`: the progress record with the run is being written; no start request has been sent.
 * - `starting`: the start request has been sent and is not answered yet.
 * - `unconfirmed`: read from the progress record of an earlier leader; the worker has not been polled yet.
 * - `running`: the worker has accepted or listed the run.
 * - `stopping`: a stop has been decided; the capacity stays reserved until the worker lists the run as ended.
 */
export type RunPhase = "recording" | "starting" | "unconfirmed" | "running" | "stopping";

/** One attempt to run a task on one worker. */
export interface Run {
    readonly task: Task;
    /** Number of the attempt, starting at 1; runs of a gang that start together have the same number. */
    readonly number: number;
    /** Latest incarnation of the worker that may have the run. */
    worker: Worker;
    phase: RunPhase;
    readonly plannedAtMs: number;
    /**
     * When a start or stop request for this run was last answered, on the monotonic clock, or when an unanswered start
     * can no longer take effect; infinite while neither is known. Only a run list requested after this time shows
     * whether the worker has the run.
     */
    answeredAtMs: number;
    /** Completed share of the work, 0 to 100; 100 for a long-running task that is working. */
    percent: number;
    /** When `percent` last increased, on the monotonic clock. */
    progressAtMs: number;
    /** When a run list of the worker first contained the run, on the monotonic clock; `undefined`: none has. */
    firstListedAtMs: number | undefined;
    checkpoint: string;
    /**
     * Latest value from the worker: latency in ms for a task with a latency target, else processor use in thousandths.
     */
    measure: number;
    /** Limit on a filler's processor use, in percent, 0 to 100. */
    pacePercent: number;
    /** Why the run is being stopped; `undefined`: it is not. */
    stopReason: string | undefined;
    isStopSent: boolean;
    /** The run is being stopped although it could continue. */
    isInterruption: boolean;
}

export type TaskPhase = "waiting" | "done" | "failed";

/** One task of a step, in one occurrence of its submission. */
export interface Task {
    readonly name: string;
    readonly entry: SubmissionEntry;
    readonly occurrence: number;
    readonly stepNumber: number;
    readonly step: Step;
    /** All tasks of the step in this occurrence. */
    readonly stepTasks: StepTasks;
    readonly index: number;
    readonly phase: TaskPhase;
    /** Highest run number used so far; 0: none. */
    lastRun: number;
    /** Numbers of the failed runs; the size of the set is the number of attempts used. */
    readonly failedRuns: Set<number>;
    /**
     * Numbers of the runs that were requested and then dropped without a reported end. One that a worker lists later
     * was dropped too early.
     */
    readonly droppedRuns: Set<number>;
    checkpoint: string;
    readonly runs: Run[];
    /** Earliest time of the next start, on the monotonic clock. */
    notBeforeMs: number;
    /** Ids of the workers where a run of the task failed. */
    readonly failedWorkerIds: Set<string>;
    /** When its last run was removed, or else when the task was added, on the monotonic clock. */
    waitingSinceMs: number;
}

/** One execution of all steps of a submission. */
export interface Occurrence {
    readonly number: number;
    /** Tasks by step number. */
    readonly steps: readonly StepTasks[];
    /** Earliest start, in milliseconds since 1970; 0: at once. */
    readonly dueAtMs: number;
}

/** A submission that has not ended, with its tasks and their progress. */
export interface SubmissionEntry {
    readonly submission: Submission;
    /** Revision of the submission's record in the store. */
    revision: number;
    /** Revision of the submission's progress record, which the leader writes; 0: there is none. */
    progressRevision: number;
    isCancelled: boolean;
    /** Number of failed runs of one task after which the submission fails; `undefined`: not known yet. */
    maxAttempts: number | undefined;
    /** Its account was beyond its rate. Set once, when the submission is classified. */
    isExcess: boolean;
    hasStarted: boolean;
    readonly starts: StartHistory;
    /** Until when its long-running tasks rank behind other work, on the monotonic clock; 0: they rank first. */
    demotedUntilMs: number;
    /** `undefined`: not classified. Long-running, repeated and excess submissions never are. */
    sizeClass: SizeClass | undefined;
    /** Ranks before other submissions of its queue's priority, because its size class has been served too little. */
    isPromoted: boolean;
    /** Is counted among the submissions of its size class that are served. */
    countsAsServed: boolean;
    /** Occurrences that have been added and have tasks that are not done, by number. */
    readonly occurrences: Map<number, Occurrence>;
    /** Numbers of the occurrences whose tasks are all done. */
    readonly doneOccurrences: IndexRanges;
    /** Number of occurrences that have been added. */
    addedOccurrences: number;
    /** Length of the progress record, in bytes, with room for the checkpoints of its tasks; 0: there is none. */
    progressBytes: number;
    /** Number of tasks that have failed for good. */
    failedCount: number;
    /** The final state that has been decided; made visible once it is in the store. */
    finalState: "complete" | "failed" | "cancelled" | undefined;
    readonly seenAtMs: number;
    /** When a planning round last tried to place its tasks, or else `seenAtMs`, on the monotonic clock. */
    placementTriedAtMs: number;
    /** Position of the ready step with which the next planning round begins; 0: the first. */
    nextPlacedStep: number;
    /** Availability zone of the worker that one of its tasks was last placed on; `undefined`: none yet. */
    zone: string | undefined;
    /** Cached estimate that the ranking uses; `undefined`: not computed yet. */
    remainingEstimate: RemainingEstimate | undefined;
}

/** Estimate of what a submission still has to run. */
export interface RemainingEstimate {
    /** Remaining work, in core-milliseconds. */
    readonly workCoreMs: number;
    /** Remaining length of the critical path. */
    readonly criticalPathMs: number;
    /** Length of the critical path over all steps, done or not. */
    readonly fullCriticalPathMs: number;
    /** When the estimate was computed, on the monotonic clock. */
    readonly computedAtMs: number;
}

/**
 * A sample of a worker's clock: it read `workerMs` at some time between `sentAtMs` and `receivedAtMs` on the local
 * clock.
 */
export interface ClockReading {
    readonly workerMs: number;
    readonly sentAtMs: number;
    readonly receivedAtMs: number;
    /** Request whose answer contained the sample. */
    readonly from: "start" | "stop" | "list";
}

/**
 * Whether this tenure has read the worker's run list.
 *
 * - `unread`: not yet, even if the worker has answered other requests; an earlier leader may have started any run
 *   there.
 * - `read`: the worker has seen this tenure's fencing token and has returned its run list.
 */
export type RunList =
    | { readonly kind: "unread"; }
    | {
        readonly kind: "read";
        /** When the first run list was received, on the monotonic clock. */
        readonly firstReadAtMs: number;
        /** When the latest run list was requested, on the monotonic clock. */
        readonly askedAtMs: number;
    };

/** One incarnation of a worker: from one start until the next start under the same id. */
export interface Worker {
    readonly id: string;
    /** When this incarnation started, in milliseconds since 1970; distinguishes incarnations with the same id. */
    readonly bornMs: number;
    address: string;
    pool: string;
    zone: string;
    rack: string;
    labels: readonly string[];
    capacity: Resources;
    isDraining: boolean;
    /** Minimum time until a draining worker is removed, in milliseconds. */
    drainLeftMs: number;
    /** The worker's registration is in the store. */
    isRegistered: boolean;
    runList: RunList;
    /** The last request was answered. */
    isReachable: boolean;
    /** Its availability zone is under evacuation: runs may finish, no new ones start. */
    isEvacuated: boolean;
    /** Gets no new work, because the machine is to be moved or maintained. */
    isReserved: boolean;
    clock: ClockReading | undefined;
    /** Latest expiry among the leases that this tenure knows of, on the worker's clock. */
    leaseUntilWorkerMs: number;
    /** When the worker last answered any request, on the monotonic clock. */
    answeredAtMs: number;
    /**
     * When this incarnation last took over runs that were requested from an earlier one, on the monotonic clock;
     * `undefined`: never.
     */
    inheritedAtMs: number | undefined;
    /** Highest sequence number of a reported end that has been recorded. */
    ackedEnd: number;
    readonly runs: Set<Run>;
    /** Capacity reserved for runs; a filler's processors don't count. */
    used: { cpuMillis: number; memoryMb: number; accelerators: number; };
    /** Number of listed runs that belong to no task any more; they use capacity until they end. */
    strayRunCount: number;
    readonly outcomes: WorkerOutcomes;
    /** When a run on the worker was last removed, on the monotonic clock. */
    idleSinceMs: number;
}

/** Recent outcomes, which distinguish a healthy worker from one on which every run fails. */
export interface WorkerOutcomes {
    /** Ids of submissions with a failed run since the last success; each counts once. */
    readonly failedSubmissions: Set<string>;
    lastSuccessAtMs: number;
    lastFailureAtMs: number;
    /**
     * End of the quarantine, on the monotonic clock; 0: none. A worker whose runs stall or progress far too slowly, or
     * that refused a start as unhealthy, gets no new work before it.
     */
    quarantinedUntilMs: number;
}

/** In-memory state that the leader's scheduling decisions are based on. */
export interface SchedulerState {
    readonly submissions: Map<string, SubmissionEntry>;
    readonly workers: Map<string, Worker>;
    /** Resources of each tenant's runs, including those that may be running. */
    readonly serviceShares: ServiceShares;
    readonly tenantUse: Map<string, { cpuMillis: number; memoryMb: number; accelerators: number; }>;
}

export function createSchedulerState(): SchedulerState {
    return { submissions: new Map(), workers: new Map(), tenantUse: new Map(), serviceShares: createServiceShares() };
}
