import type { Peer } from "../peers";

/** Entries as the platform's service records them. */
export interface Members {
    /** The newest record known; `undefined` until one is. */
    recorded(): readonly Peer[] | undefined;
    /**
     * True where the boot was in the record and no longer is: its process has ended. A silent boot is not gone.
     * It was replaced by a newer boot that took the same instance's address, or the instance list lost its instance,
     * or it stopped in an orderly way.
     */
    isGone(boot: string): boolean;
    onChange(listener: () => void): () => void;
    /** Enters this boot into the record, again and again until that succeeds. */
    start(): void;
    /** Takes this boot out of the record. */
    stop(): Promise<void>;
}
