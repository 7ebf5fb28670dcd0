/** One value of the platform's store. Revisions are those of the whole store and only rise. */
export interface StoreItem {
    readonly key: string;
    readonly text: string;
    /** Revision of the last change of this key. */
    readonly revision: number;
}

/** A change that a watch tells of. */
export type StoreEvent =
    | { readonly kind: "put"; readonly item: StoreItem; }
    | { readonly kind: "deleted"; readonly key: string; readonly revision: number; };

/** The call did nothing, and the store will not carry it out later. */
export interface StoreUnavailable {
    readonly kind: "unavailable";
    readonly detail: string;
}

/** The answer was lost; a write may take effect, now or seconds later, if its conditions still hold. */
export interface StoreUnknown {
    readonly kind: "unknown";
    readonly detail: string;
}

export type ReadResult =
    | { readonly kind: "found"; readonly item: StoreItem; }
    | { readonly kind: "missing"; }
    | StoreUnavailable;

export type RangeResult =
    | { readonly kind: "items"; readonly items: readonly StoreItem[]; readonly revision: number; }
    | StoreUnavailable;

export type WatchResult =
    | { readonly kind: "events"; readonly events: readonly StoreEvent[]; readonly revision: number; }
    /** The history back to the asked revision is gone; the prefix has to be read anew. */
    | { readonly kind: "compacted"; }
    | StoreUnavailable;

/** A key and the revision it has to be at; 0 where it must not exist. */
export interface Condition {
    readonly key: string;
    readonly revision: number;
}

export interface Put {
    readonly key: string;
    readonly text: string;
    /** Lease that the key ends with; 0 for none. */
    readonly lease?: number;
}

/** All or nothing. */
export interface Commit {
    readonly conditions: readonly Condition[];
    readonly puts: readonly Put[];
    readonly deletes: readonly string[];
}

export type CommitResult =
    | { readonly kind: "committed"; readonly revision: number; }
    /** Nothing was written; the items of the conditions as they are now, absent keys left out. */
    | { readonly kind: "conflict"; readonly items: readonly StoreItem[]; }
    | { readonly kind: "leaseEnded"; }
    | StoreUnavailable
    | StoreUnknown;

export type LeaseResult =
    | { readonly kind: "leased"; readonly lease: number; readonly ttlMs: number; }
    | { readonly kind: "leaseEnded"; }
    | StoreUnavailable;

/** Entries of one commit at most, counting conditions, puts and deletes (limit of the platform's store). */
export const maxCommitEntries = 32;

/** The platform's store; each call is one call on the platform's account. */
export interface Store {
    read(key: string): Promise<ReadResult>;
    /** All items under a prefix, over as many pages as it takes. */
    range(prefix: string): Promise<RangeResult>;
    /** Waits for changes after a revision, `waitMs` at most. */
    watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchResult>;
    commit(commit: Commit): Promise<CommitResult>;
    grantLease(ttlMs: number): Promise<LeaseResult>;
    renewLease(lease: number): Promise<LeaseResult>;
    endLease(lease: number): Promise<LeaseResult>;
}
