import type { Either } from "purify-ts";

/** One value of the key-value service. Revisions of a key grow with each write. */
export interface StoredValue {
    readonly text: string;
    readonly revision: number;
}

/** The service did not answer a read. */
export interface PlatformFailure {
    readonly kind: "unavailable";
    readonly detail: string;
}

/**
 * Why a compare-and-swap gave no new revision.
 *
 * - `conflict`: somebody else wrote first; nothing was written.
 * - `unavailable`: the request never reached the service; nothing was written.
 * - `unknown`: the answer was lost; the write may take effect, now or a little later.
 * - `tooLarge`: the value is above the service's limit; nothing was written.
 */
export type SwapFailure =
    | { readonly kind: "conflict"; readonly current: StoredValue | undefined; }
    | { readonly kind: "unavailable"; readonly detail: string; }
    | { readonly kind: "unknown"; readonly detail: string; }
    | { readonly kind: "tooLarge"; readonly sizeBytes: number; };

export type InstanceStatus = "live" | "leaving";

/** One line of the platform's lagging instance list. */
export interface InstanceListing {
    readonly instance: string;
    readonly status: InstanceStatus;
}

/** Keys to watch, each with the revision already known; 0 where none is. */
export type KnownRevisions = ReadonlyMap<string, number>;

/** What the platform offers; every call is one call on the service's account. */
export interface Platform {
    /** Gives `undefined` where the key has never been written. */
    read(key: string): Promise<Either<PlatformFailure, StoredValue | undefined>>;
    /** Writes only if the key is still at `expectedRevision` (0: never written); gives the new revision. */
    compareAndSwap(key: string, expectedRevision: number, text: string): Promise<Either<SwapFailure, number>>;
    /**
     * Removes a key. Only for keys that are never written with another text, such as snapshots: a late write to any
     * other key could succeed as if it had never been there.
     */
    remove(key: string): Promise<Either<PlatformFailure, void>>;
    /** Waits until a key passes its known revision or `waitMs` is over; gives the changed keys only. */
    watch(known: KnownRevisions, waitMs: number): Promise<Either<PlatformFailure, ReadonlyMap<string, StoredValue>>>;
    /** Entries and workers that the platform lists; it lags behind the truth. */
    listInstances(): Promise<Either<PlatformFailure, readonly InstanceListing[]>>;
    close(): Promise<void>;
}
