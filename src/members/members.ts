import type { Peer } from "../peers";
import type { InstanceStatus } from "../platform";

/** One boot in the record of entries. */
export interface Member extends Peer {
    /** True once the platform's list was seen to have the instance while this boot was in the record. */
    readonly listed: boolean;
}

/** Entries as the platform's service records them, and instances as the platform lists them. */
export interface Members {
    /** The newest record known; `undefined` until one is. */
    recorded(): readonly Member[] | undefined;
    /**
     * True where the boot was in the record and no longer is: its process has ended. A silent boot is not gone.
     * It was replaced by a newer boot that took the same instance's address, or the instance list lost its instance,
     * or it stopped in an orderly way.
     */
    isGone(boot: string): boolean;
    /**
     * Gives those of the boots that are not in the record, after a write that shows the record to be the newest. They
     * are gone where each entered the record before it wrote the value that names it. Serves an entry that started
     * after a boot had ended, for which `isGone` stays false. One read and one write of the platform; `undefined` where
     * it did not answer or somebody else wrote meanwhile.
     */
    proveGone(boots: readonly string[]): Promise<ReadonlySet<string> | undefined>;
    /** Reads the record now; gives false where the platform did not answer. */
    refresh(): Promise<boolean>;
    /** The platform's list as last heard: an instance that is not in it is absent. `undefined` until one was heard. */
    instances(): ReadonlyMap<string, InstanceStatus> | undefined;
    /** How old the list is, in milliseconds since it was asked for; `undefined` until one was heard. */
    instancesAgeMs(): number | undefined;
    /** Calls the listener after each change of the record or of the list; returns what ends it. */
    onChange(listener: () => void): () => void;
    /** Enters this boot into the record, again and again until that succeeds. */
    start(): void;
    /** Waits until this boot is in the record; gives false where it is not after that time. */
    entered(waitMs: number): Promise<boolean>;
    /** Takes this boot out of the record. */
    stop(): Promise<void>;
}
