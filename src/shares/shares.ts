import type { UpperLimit } from "../state";
import type { TaskSize } from "../workers";

/** A number of tasks and the sum of the resources that they request. */
export type ShareAmounts = UpperLimit;

/** The waiting tasks of one team in one pool at one entry. */
export interface WaitingWork {
    readonly amounts: ShareAmounts;
    readonly urgentTasks: number;
    /** Arrival time of the task that has waited longest, by this entry's clock. */
    readonly oldestAtMs: number;
}

/** Who gets the next free slot of a pool: a team at this entry, a team that waits at a connected entry, or nobody. */
export type Turn =
    | { readonly kind: "own"; readonly team: string; }
    | { readonly kind: "peer"; readonly team: string; readonly boot: string; }
    | { readonly kind: "nobody"; };

/**
 * Whether a slot may be offered to another entry. `sometimes`: the slot became free because a task ended; offering it
 * at random keeps entries from all offering slots for the same waiting task. `always`: a task was stopped for others.
 */
export type Offers = "none" | "sometimes" | "always";

/** Number of tasks of a team above its share to stop at this entry, for work that has waited too long. */
export interface Reclaim {
    readonly team: string;
    readonly tasks: number;
}

export interface Shares {
    addRunning(pool: string, team: string, size: TaskSize): void;
    /**
     * Counts a task's first turn for the urgent allowance. Later turns, after a busy worker refused the task,
     * don't count.
     */
    recordFirstTurn(pool: string, team: string, isUrgent: boolean): void;
    removeRunning(pool: string, team: string, size: TaskSize): void;
    /** Sets what waits here and could start if a worker were free. `undefined` if nothing does. */
    setWaiting(pool: string, team: string, waiting: WaitingWork | undefined): void;
    /**
     * Chooses among the given teams of this entry and, as far as `offers` allows, the teams that wait at connected
     * entries.
     */
    nextTurn(pool: string, ownTeams: readonly string[], offers: Offers): Turn;
    /** Counts an offered slot as used by the other entry until its next report. */
    recordOffer(pool: string, team: string, boot: string): void;
    /** Returns the pools in which tasks wait, here or at a connected entry. */
    contendedPools(): readonly string[];
    /** Returns this entry's part of the tasks to stop so that lent shares are returned. */
    findReclaims(pool: string): readonly Reclaim[];
    /** True if the team uses at least its share of what is running in the pool. */
    hasReachedShare(pool: string, team: string): boolean;
    /** Calls the listener when another entry's report has changed a pool. Returns the unsubscribe function. */
    onChange(listener: (pool: string) => void): () => void;
    start(): void;
    stop(): void;
}
