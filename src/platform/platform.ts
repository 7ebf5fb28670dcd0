import type { Either } from "purify-ts";

/** One value of the key-value store. The revision of a key increases with each write. */
export interface StoredValue {
    readonly text: string;
    readonly revision: number;
}

/** The platform did not answer. */
export interface PlatformFailure {
    readonly kind: "unavailable";
    readonly detail: string;
}

/**
 * Why a compare-and-swap returned no new revision.
 *
 * - `conflict`: another writer was first; nothing was written.
 * - `unavailable`: the request did not reach the platform; nothing was written.
 * - `unknown`: the answer was lost; the write may have taken effect, or may take effect a little later.
 * - `tooLarge`: the value exceeds the platform's limit; nothing was written.
 */
export type SwapFailure =
    | { readonly kind: "conflict"; readonly current: StoredValue | undefined; }
    | { readonly kind: "unavailable"; readonly detail: string; }
    | { readonly kind: "unknown"; readonly detail: string; }
    | { readonly kind: "tooLarge"; readonly sizeBytes: number; };

export type InstanceStatus = "live" | "leaving";

/** One item of the platform's instance list, which lags behind the actual state. */
export interface InstanceListing {
    readonly instance: string;
    readonly status: InstanceStatus;
}

/** Keys to watch, each with its latest known revision; 0 if none is known. */
export type KnownRevisions = ReadonlyMap<string, number>;

/** Client of the platform. Each call counts against the platform's limit of calls. */
export interface Platform {
    /** Returns `undefined` if the key has never been written. */
    read(key: string): Promise<Either<PlatformFailure, StoredValue | undefined>>;
    /** Writes only if the key is still at `expectedRevision` (0: never written); returns the new revision. */
    compareAndSwap(key: string, expectedRevision: number, text: string): Promise<Either<SwapFailure, number>>;
    /**
     * Removes a key. Only for keys that are always written with the same text, such as snapshots. A removed key counts as
     * never written, so a delayed write to any other key could succeed after the removal and restore an outdated text.
     */
    remove(key: string): Promise<Either<PlatformFailure, void>>;
    /** Waits until a key passes its known revision, up to `waitMs`; returns the changed keys only. */
    watch(known: KnownRevisions, waitMs: number): Promise<Either<PlatformFailure, ReadonlyMap<string, StoredValue>>>;
    /** Reads the entries and workers that the platform lists; the list lags behind the actual state. */
    listInstances(): Promise<Either<PlatformFailure, readonly InstanceListing[]>>;
    close(): Promise<void>;
}
