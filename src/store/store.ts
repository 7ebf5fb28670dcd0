/** A key and its value in the platform's store. Revisions count the changes of the whole store and only increase. */
export interface StoreItem {
    readonly key: string;
    readonly text: string;
    /** Revision of the last change of this key. */
    readonly revision: number;
}

/** A change reported by a watch. */
export type StoreEvent =
    | { readonly kind: "put"; readonly item: StoreItem; }
    | { readonly kind: "deleted"; readonly key: string; readonly revision: number; };

/** The call had no effect, and the store will not apply it later. */
export interface StoreUnavailable {
    readonly kind: "unavailable";
    readonly detail: string;
    /** The store received too many calls from all entries together. */
    readonly isRateLimited?: boolean;
    /** No answer came in time. This may be due to the connection that the call took. */
    readonly isUnanswered?: boolean;
}

/**
 * The answer was lost. The write may have taken effect, or may take effect seconds later if its conditions still hold.
 */
export interface StoreUnknown {
    readonly kind: "unknown";
    readonly detail: string;
    /** No answer came in time. This may be due to the connection that the call took. */
    readonly isUnanswered?: boolean;
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
    /** The history since the requested revision was discarded; the prefix has to be read again. */
    | { readonly kind: "compacted"; }
    | StoreUnavailable;

/** Requires that a key is at a revision; 0 requires that the key does not exist. */
export interface Condition {
    readonly key: string;
    readonly revision: number;
}

export interface Put {
    readonly key: string;
    readonly text: string;
    /** The key is deleted when this lease ends; 0 or absent for no lease. */
    readonly lease?: number;
}

/** An atomic transaction: all puts and deletes are applied if all conditions hold, otherwise none is. */
export interface Commit {
    readonly conditions: readonly Condition[];
    readonly puts: readonly Put[];
    readonly deletes: readonly string[];
}

export type CommitResult =
    | { readonly kind: "committed"; readonly revision: number; }
    /** Nothing was written. `items` holds the current items of the condition keys; missing keys are left out. */
    | { readonly kind: "conflict"; readonly items: readonly StoreItem[]; }
    | { readonly kind: "leaseEnded"; }
    | StoreUnavailable
    | StoreUnknown;

export type LeaseResult =
    | { readonly kind: "leased"; readonly lease: number; readonly ttlMs: number; }
    | { readonly kind: "leaseEnded"; }
    | StoreUnavailable;

/** Most conditions, puts and deletes in one commit, counted together (limit of the platform's store). */
export const maxCommitOperations = 32;

/** Client of the platform's store. Each call counts against the platform's limit of calls. */
export interface Store {
    read(key: string): Promise<ReadResult>;
    /** Reads all items under a prefix, page by page. */
    range(prefix: string): Promise<RangeResult>;
    /** Waits up to `waitMs` for changes after a revision; gives no events if there were none. */
    watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchResult>;
    commit(commit: Commit): Promise<CommitResult>;
    grantLease(ttlMs: number): Promise<LeaseResult>;
    renewLease(lease: number): Promise<LeaseResult>;
    endLease(lease: number): Promise<LeaseResult>;
}
