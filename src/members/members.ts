import type { Peer } from "../peers";
import type { InstanceStatus } from "../platform";

/** One boot of an entry in the membership record. */
export interface Member extends Peer {
    /** True once the instance was seen in the platform's instance list while this boot was in the record. */
    readonly listed: boolean;
}

/** The membership record in the platform's store, and the platform's instance list. */
export interface Members {
    /** Members of the newest record known; `undefined` until a record was read. */
    recorded(): readonly Member[] | undefined;
    /**
     * True if the boot was in the record and no longer is, which proves that its process has ended. A boot that is only
     * unreachable does not count as ended. A boot leaves the record when a newer boot of the same instance binds its
     * address, when its instance leaves the instance list, or when it shuts down cleanly.
     */
    hasEnded(boot: string): boolean;
    /**
     * Returns the given boots that are not in the record, after a write that proves the record to be the newest. These
     * boots have ended, provided that each one entered the record before it wrote the value that names it. This covers
     * boots that had ended before this entry started: `hasEnded` stays false for them. Makes one read and one write of
     * the platform. Returns `undefined` if the platform did not answer or another entry wrote in between.
     */
    proveEnded(boots: readonly string[]): Promise<ReadonlySet<string> | undefined>;
    /** Reads the record now; returns false if the platform did not answer. */
    refresh(): Promise<boolean>;
    /** The latest instance list received: instances not in it are absent. `undefined` until a list was received. */
    instances(): ReadonlyMap<string, InstanceStatus> | undefined;
    /** Age of the instance list, in milliseconds since it was requested; `undefined` until a list was received. */
    instancesAgeMs(): number | undefined;
    /**
     * Calls the listener after each change of the record or of the instance list; returns the function to unsubscribe.
     */
    onChange(listener: () => void): () => void;
    /** Adds this boot to the record, with retries until it succeeds. */
    start(): void;
    /** Waits until this boot is in the record; resolves to false if it is not after `waitMs`. */
    waitUntilRecorded(waitMs: number): Promise<boolean>;
    /** Removes this boot from the record. */
    stop(): Promise<void>;
}
