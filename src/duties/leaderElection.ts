import type { Clocks } from "../clock";
import type { Reporter } from "../logging";
import type { Store, StoreItem } from "../store";
import type { LeaderTerm } from "./createLeaderObservation";
import type { Ranking } from "./rankCandidates";

/**
 * One leader's term: the right to schedule and to send requests to workers.
 *
 * At most one entry can write as leader at a time. A leader that was replaced on evidence may take itself for the leader
 * until it learns of its successor or its lease expires.
 */
export interface Tenure {
    /** Fencing token; rises with each tenure. Workers and machines refuse requests with a lower one than they have seen. */
    readonly token: number;
    /** Key and revision on which every write of this tenure has to be conditional. */
    readonly condition: { readonly key: string; readonly revision: number; };
    /** Whether the lease certainly still holds. Has to be checked right before each request. */
    isValid(): boolean;
    /**
     * Whether this leader may stop tasks that could continue. It is false if the leader may have been replaced on evidence:
     * both leaders together could otherwise stop more tasks of a step than its `maxUnavailable` allows.
     */
    mayInterrupt(): boolean;
    /**
     * Time on the monotonic clock until which a replaced leader may still renew leases on workers, in milliseconds;
     * `undefined` if none was replaced on evidence.
     */
    readonly formerLeaderUntilMs?: number | undefined;
}

/** Value of the leader key in the store. */
export interface LeaderRecord {
    readonly boot: string;
    readonly instance: string;
}

/**
 * Whether an entry is fit to lead.
 *
 * - `slow`: it gets too little processor time for its work.
 * - `turnedAway`: the store answers other entries directly, and this entry only through them.
 */
export type Fitness = "fit" | "slow" | "turnedAway";

/**
 * Outcome of a takeover.
 *
 * - `leading`: this entry is leader.
 * - `notAllowed`: this entry is unfit, stopping, already leader or about to become it, or the store names another leader.
 * - `withdrawn`: the leader was heard again before the write.
 * - `notWritten`: the store refused the write or did not answer.
 */
export type TakeoverOutcome = "leading" | "notAllowed" | "withdrawn" | "notWritten";

export interface LeaderElectionOptions {
    readonly store: Store;
    readonly clocks: Clocks;
    readonly holder: LeaderRecord;
    readonly report: Reporter;
    /** Shortest lease that the store grants, in milliseconds. */
    readonly minTtlMs: number;
    /** Whether this entry is fit to lead, at the time of the call. */
    readonly fitness: () => Fitness;
    /** Whether standbys hear this leader; see `Tenure.mayInterrupt`. Always, if left out. */
    readonly isHeard?: () => boolean;
    /** Whether there is a link to an entry. A leader does not resign for one that it can't reach. */
    readonly isLinked?: (boot: string) => boolean;
    /** This entry has become leader. */
    onGained(tenure: Tenure): void;
    /** The tenure has ended; no request may be sent any more. */
    onLost(reason: string): void;
}

export interface LeaderElection {
    /** Takes the current item of the leader key; `undefined` if there is no leader. */
    updateLeader(item: StoreItem | undefined): void;
    /** Takes this entry's rank among those that are up. */
    updateRanking(ranking: Ranking): void;
    /** The tenure of this entry; `undefined` while it is not leader. */
    tenure(): Tenure | undefined;
    /**
     * Replaces a leader whose lease has not expired.
     *
     * @param isLost checked again right before the write
     */
    takeOver(leader: LeaderTerm, isLost: () => boolean): Promise<TakeoverOutcome>;
    /** Gives leadership up permanently and ends the lease, so that another entry need not wait for it to expire. */
    resign(): Promise<void>;
    /** A request was refused because its receiver has seen a higher token; ends the tenure. */
    onFenced(): void;
    start(): void;
    stop(): void;
}
