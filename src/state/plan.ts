import type { Change } from "./state";

/** What a plan does with one instance. */
export type WorkItem =
    | { readonly kind: "move"; readonly from: string; readonly to: string; }
    | { readonly kind: "maintain"; }
    | { readonly kind: "remove"; };

/** How far and how fast a plan may go. */
export interface PlanPolicy {
    /** A wave goes on with the rack of its first instance before it takes others. */
    readonly startsWithRack: boolean;
    /** Most instances of this plan out of service at once, over all pools. */
    readonly maxInFlight: number;
    /** The plan stops by itself at this many failures. */
    readonly stopAfterFailures: number;
    /** An instance lost within this time after the plan brought it back counts as a failure of the plan. */
    readonly soakMs: number;
    /** A drain whose work has not ended by then is given up; running work is never cut. */
    readonly drainDeadlineMs: number;
    /** After this long a drain checkpoints repeatable work. */
    readonly checkpointAfterMs: number;
    /** An instance not proved healthy by then counts as lost. */
    readonly returnDeadlineMs: number;
    /** Nothing begins before `startMs` or after `endMs`. */
    readonly window?: { readonly startMs: number; readonly endMs: number; };
}

/** A plan as an operator confirms it; its id is the digest of the rest. */
export interface ConfirmedPlan {
    readonly id: string;
    readonly madeAtRevision: number;
    readonly reason: string;
    /** Digest at `madeAtRevision` of everything that the plan depends on, such as `pool stalls`. */
    readonly touches: Readonly<Record<string, string>>;
    /** Take effect at confirmation. */
    readonly changes: readonly Change[];
    /** What is done with instances, in the order of their names here. */
    readonly work: Readonly<Record<string, WorkItem>>;
    /** Take effect when all the work is done. */
    readonly afterwards: readonly Change[];
    readonly policy: PlanPolicy;
}

export type PlanStatus =
    | { readonly kind: "running"; }
    | { readonly kind: "paused"; readonly by: string; readonly atMs: number; }
    | { readonly kind: "stopped"; readonly reason: string; readonly atMs: number; }
    | { readonly kind: "cancelled"; readonly by: string; readonly atMs: number; }
    | { readonly kind: "finished"; readonly atMs: number; };

/** Who did what, when and why. */
export interface HistoryLine {
    readonly atMs: number;
    readonly by: string;
    readonly what: string;
    readonly reason: string;
}

/** A confirmed plan and how far it has come. */
export interface PlanState {
    readonly id: string;
    readonly by: string;
    readonly reason: string;
    readonly confirmedAtMs: number;
    readonly confirmedAtRevision: number;
    readonly policy: PlanPolicy;
    readonly status: PlanStatus;
    /** Work not begun, in order. */
    readonly waiting: Readonly<Record<string, WorkItem>>;
    /** Instances out of service for this plan. */
    readonly active: readonly string[];
    readonly afterwards: readonly Change[];
    readonly counts: { readonly done: number; readonly failed: number; readonly skipped: number; };
    /** Failures since the plan was confirmed or resumed. */
    readonly recentFailures: number;
    /** Rack with which a wave begins, as `region/zone/rack`. */
    readonly firstRack?: string;
    /** Instances brought back lately, with the time. */
    readonly returned: Readonly<Record<string, number>>;
    readonly lastStepAtMs: number;
    /** The last lines only. */
    readonly history: readonly HistoryLine[];
}
