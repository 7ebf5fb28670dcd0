import type { Peer } from "../peers";
import type { TaskSize } from "../workers";

/** Room for one task, taken out of this entry's slice of the team's limit. */
export interface Hold {
    readonly id: number;
    readonly team: string;
    readonly size: TaskSize;
}

export interface Limits {
    /** Takes room for one task; `undefined` where this entry's slice has none left now. */
    tryTake(team: string, size: TaskSize): Hold | undefined;
    /** Gives the room back once the task is provably over. */
    release(hold: Hold): void;
    /** True where the team's whole limit could never hold one task of this size. */
    isNeverPossible(team: string, size: TaskSize): boolean;
    /** Tells that a task waits for room, so that slices move here. */
    noteDemand(team: string, size: TaskSize): void;
    /** A connected entry that lately had room for such a task; the request may be forwarded to it. */
    findPeerWithRoom(team: string, size: TaskSize): Peer | undefined;
    /** Calls the listener when room has come; returns what ends it. */
    onRoom(listener: (team: string) => void): () => void;
    start(): void;
    /** Gives the slices up; called when nothing runs any more. */
    stop(): Promise<void>;
}
