import type { Either } from "purify-ts";
import type { Reporter } from "../logging";
import type { Members } from "../members";
import type { Peers } from "../peers";
import type { KeyWatcher, Platform } from "../platform";
import type { Command, FleetState } from "../state";
import type { LogBounds } from "./logValue";

/**
 * Why a command was not accepted.
 *
 * - `rejected`: it does not apply to the state it met.
 * - `unavailable`: the platform did not take it; it will not appear in the log.
 * - `unknown`: the answer was lost and the log could not be read again; it may appear in the log.
 */
export type AppendFailure =
    | { readonly kind: "rejected"; readonly detail: string; }
    | { readonly kind: "unavailable"; readonly detail: string; }
    | { readonly kind: "unknown"; readonly detail: string; };

export interface ConfigurationOptions {
    readonly platform: Platform;
    readonly watcher: KeyWatcher;
    /** Without peers, the platform is the only source. */
    readonly peers?: Peers;
    /** Without members, only connected peers count for `inForce`. */
    readonly members?: Members;
    readonly report?: Reporter;
    /** How long one command is tried, in milliseconds. */
    readonly appendMs?: number;
    /** How often peers are told this entry's revision, in milliseconds. */
    readonly digestMs?: number;
    /** Silence of the platform and of all peers after which this entry counts as isolated, in milliseconds. */
    readonly isolatedAfterMs?: number;
    /** How long the log may grow; the same at every entry. */
    readonly bounds?: LogBounds;
    /** Between 0 and 1; spreads retries. */
    readonly random?: () => number;
}

export interface AppendRequest {
    readonly by: string;
    readonly reason: string;
    readonly command: Command;
}

/** An entry that may serve and has not confirmed a revision. */
export interface MissingEntry {
    readonly instance: string;
    readonly boot: string;
    readonly zone: string;
    /** When it was last heard, in milliseconds of this entry's clock; `undefined` where it never was. */
    readonly lastHeardAtMs: number | undefined;
    /** The revision it last confirmed. */
    readonly revision: number | undefined;
}

/** Where a revision is in force, as far as this entry knows. */
export interface InForce {
    readonly revision: number;
    /** True where every entry that may still serve has confirmed it, or has provably stopped. */
    readonly everywhere: boolean;
    /** Boots that have confirmed it. */
    readonly confirmed: readonly string[];
    readonly missing: readonly MissingEntry[];
}

/** How far this entry is cut off. */
export interface Isolation {
    readonly isIsolated: boolean;
    /** Since when neither the platform nor a peer was heard, in milliseconds of this entry's clock. */
    readonly lastHeardAtMs: number;
}

/** The agreed state as this entry knows it; its revision never goes back. */
export interface Configuration {
    /** `undefined` until the first state is known. */
    state(): FleetState | undefined;
    /** Adds one command to the log; gives the revision that holds it. */
    append(request: AppendRequest): Promise<Either<AppendFailure, number>>;
    /** Calls the listener after each change; returns what ends it. */
    onChange(listener: (state: FleetState) => void): () => void;
    /** Which entries have a revision in force, as they last told this entry. */
    inForce(revision: number): InForce;
    /** Waits until a revision is in force everywhere, or the time is over; gives what is known then. */
    awaitInForce(revision: number, waitMs: number): Promise<InForce>;
    /** Reads the log now; gives false where the platform did not answer or its log cannot be applied. */
    refresh(): Promise<boolean>;
    isolation(): Isolation;
    /** Begins to tell peers and to hear from them. */
    start(): void;
    stop(): void;
}
