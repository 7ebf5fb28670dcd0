import type { Either } from "purify-ts";
import type { Peer } from "../peers";
import type { PlatformFailure } from "../platform";
import type { UpperLimit } from "../state";
import type { TaskSize } from "../workers";

/** Room for one task, taken out of this entry's slice of the team's limit. */
export interface Hold {
    readonly id: number;
    readonly team: string;
    readonly size: TaskSize;
}

/** What one boot holds of a team's limit, as the ledger says. */
export interface SliceHolder {
    readonly boot: string;
    readonly slice: UpperLimit;
    /** False where the boot is no longer in the record of entries; its slice comes back after the longest lease. */
    readonly isRecorded: boolean;
}

/** How one team's limit is divided, for operators. */
export interface TeamDivision {
    readonly team: string;
    /** Absent where the team has been removed. */
    readonly limit?: UpperLimit;
    /** True where the slices, and with them everything that may run, are within the limit of this entry's revision. */
    readonly isInForce: boolean;
    readonly held: UpperLimit;
    readonly holders: readonly SliceHolder[];
    /** Boots that hold more than an even part of the limit while the sum is above it. */
    readonly holdTooMuch: readonly string[];
}

export interface Limits {
    /**
     * Takes room for one task; `undefined` where this entry's slice has none left now.
     * With the request's id the failure is also noted as demand, as by `noteDemand`.
     */
    tryTake(team: string, size: TaskSize, requestId?: string): Hold | undefined;
    /** Gives the room back once the task is provably over. */
    release(hold: Hold): void;
    /** Gives the room back once a task whose end nobody saw must be over: the rest of its lease, in milliseconds. */
    releaseAfter(hold: Hold, delayMs: number): void;
    /** True where the team's whole limit could never hold one task of this size. */
    isNeverPossible(team: string, size: TaskSize): boolean;
    /**
     * Tells that a task waits for room, so that slices move here. The note lapses after a second; a request that
     * still waits is noted again whenever `onRoom` calls. Without an id all notes of a team count as one task.
     */
    noteDemand(team: string, size: TaskSize, requestId?: string): void;
    /** True where this entry's slice has room for one such task now; takes nothing. */
    hasRoom(team: string, size: TaskSize): boolean;
    /** A connected entry that lately had room for such a task; the request may be forwarded to it. */
    findPeerWithRoom(team: string, size: TaskSize): Peer | undefined;
    /** Calls the listener when room has come, and now and then while demand is noted; returns what ends it. */
    onRoom(listener: (team: string) => void): () => void;
    /** Reads from the platform how every team's limit is divided. */
    readDivisions(): Promise<Either<PlatformFailure, readonly TeamDivision[]>>;
    start(): void;
    /** Gives the slices up; called when nothing runs any more. */
    stop(): Promise<void>;
}
