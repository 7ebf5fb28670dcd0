import type { Either } from "purify-ts";
import type { Peer } from "../peers";
import type { PlatformFailure } from "../platform";
import type { UpperLimit } from "../state";
import type { TaskSize } from "../workers";

/** Capacity for one task, reserved from this entry's slice of the team's limit. */
export interface Hold {
    readonly id: number;
    readonly team: string;
    readonly size: TaskSize;
}

/** The slice of a team's limit that the ledger records for one boot. A boot is one run of an entry's process. */
export interface SliceHolder {
    readonly boot: string;
    readonly slice: UpperLimit;
    /** False if the boot is no longer in the member record. Its slice is reclaimed after its longest task lease. */
    readonly isRecorded: boolean;
}

/** How one team's limit is divided over the boots. Shown to operators. */
export interface TeamDivision {
    readonly team: string;
    /** Absent if the team has been removed. */
    readonly limit?: UpperLimit;
    /**
     * True if the sum of the slices, and so the sum of all tasks that may run, is within the limit of the revision
     * that this entry knows.
     */
    readonly isInForce: boolean;
    readonly held: UpperLimit;
    readonly holders: readonly SliceHolder[];
    /** Boots that hold more than an even part of the limit. Empty unless the sum of the slices exceeds the limit. */
    readonly holdTooMuch: readonly string[];
}

export interface Limits {
    /**
     * Reserves capacity for one task. Returns `undefined` if this entry's slice has too little left now.
     * If `requestId` is given, a failure also records demand, as `recordDemand` does.
     */
    tryAcquire(team: string, size: TaskSize, requestId?: string): Hold | undefined;
    /** Frees the held capacity. Called once the task has provably ended. */
    release(hold: Hold): void;
    /** Frees the held capacity of a task whose end was not observed, after the rest of its lease (`delayMs`). */
    releaseAfter(hold: Hold, delayMs: number): void;
    /** True if a task of this size exceeds the team's whole limit. */
    isNeverPossible(team: string, size: TaskSize): boolean;
    /**
     * Records that a task waits for capacity, so that other entries' unused capacity is moved here. The record expires
     * after a second; a request that still waits is recorded again whenever `onCapacityAvailable` calls its listener.
     * All records of a team without an id count as one task.
     */
    recordDemand(team: string, size: TaskSize, requestId?: string): void;
    /** True if this entry's slice has capacity for one such task now. Reserves nothing. */
    hasFreeCapacity(team: string, size: TaskSize): boolean;
    /** Returns a connected entry that recently had capacity for such a task. The request may be forwarded to it. */
    findPeerWithCapacity(team: string, size: TaskSize): Peer | undefined;
    /**
     * Calls the listener when capacity may be free, and periodically while demand is recorded. Returns the unsubscribe
     * function.
     */
    onCapacityAvailable(listener: (team: string) => void): () => void;
    /** Reads the division of every team's limit from the platform. */
    readDivisions(): Promise<Either<PlatformFailure, readonly TeamDivision[]>>;
    start(): void;
    /** Releases this entry's slices. Called when no task runs here any more. */
    stop(): Promise<void>;
}
