import type { UpperLimit } from "../state";
import type { TaskSize } from "../workers";

/** A number of tasks and the resources that they ask for together. */
export type ShareAmounts = UpperLimit;

/** What one entry has waiting for one team in one pool. */
export interface WaitingWork {
    readonly amounts: ShareAmounts;
    readonly urgentTasks: number;
    /** When the one that has waited longest arrived, in milliseconds of this entry's clock. */
    readonly oldestAtMs: number;
}

/** Who starts next in a pool: a team of this entry, a team that waits at a connected entry, or nobody. */
export type Turn =
    | { readonly kind: "own"; readonly team: string; }
    | { readonly kind: "peer"; readonly team: string; readonly boot: string; }
    | { readonly kind: "nobody"; };

/**
 * Whether a slot may go to another entry: `sometimes` where it has become free by itself, so that not all entries offer
 * theirs for the same waiting work; `always` where a task was stopped for others.
 */
export type Offers = "none" | "sometimes" | "always";

/** Tasks that a team above its share should give back here, for teams that have waited too long. */
export interface Reclaim {
    readonly team: string;
    readonly tasks: number;
}

export interface Shares {
    addRunning(pool: string, team: string, size: TaskSize): void;
    /** Counts a task's first turn for the right of urgent work; a turn that a busy worker refused comes again. */
    noteFirstTurn(pool: string, team: string, isUrgent: boolean): void;
    removeRunning(pool: string, team: string, size: TaskSize): void;
    /** States what waits here and could start if a worker were free; `undefined` where nothing does. */
    setWaiting(pool: string, team: string, waiting: WaitingWork | undefined): void;
    /** Chooses among the given teams of this entry and, by `offers`, what connected entries have waiting. */
    nextTurn(pool: string, ownTeams: readonly string[], offers: Offers): Turn;
    /** Counts a slot that has been offered to an entry until its next report. */
    noteOffer(pool: string, team: string, boot: string): void;
    /** Pools in which something waits, here or at a connected entry. */
    contendedPools(): readonly string[];
    /** What this entry's part is of bringing lent shares back. */
    findReclaims(pool: string): readonly Reclaim[];
    /** True where the team uses its share of what is running in the pool, or more. */
    isAtShare(pool: string, team: string): boolean;
    /** Calls the listener when another entry's report has changed a pool; returns what ends it. */
    onChange(listener: (pool: string) => void): () => void;
    start(): void;
    stop(): void;
}
