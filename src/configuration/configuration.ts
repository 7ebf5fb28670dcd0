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
 * - `rejected`: the command is not valid for the current state.
 * - `unavailable`: the platform did not store it; it will not appear in the log.
 * - `unknown`: the response was lost and the log could not be read again; the command may appear in the log.
 */
export type AppendFailure =
    | { readonly kind: "rejected"; readonly detail: string; }
    | { readonly kind: "unavailable"; readonly detail: string; }
    | { readonly kind: "unknown"; readonly detail: string; };

export interface ConfigurationOptions {
    readonly platform: Platform;
    readonly watcher: KeyWatcher;
    /** Without peers, the log comes from the platform alone. */
    readonly peers?: Peers;
    /** Without members, only connected peers count for `inForce`. */
    readonly members?: Members;
    readonly report?: Reporter;
    /** Time limit for appending one command, retries included, in milliseconds. */
    readonly appendTimeoutMs?: number;
    /** Interval at which this entry announces its revision to its peers, in milliseconds. */
    readonly digestIntervalMs?: number;
    /** This entry counts as isolated after this time without a message from the platform or a peer, in milliseconds. */
    readonly isolatedAfterMs?: number;
    /** Size limits of the log; they must be the same at every entry. */
    readonly bounds?: LogBounds;
    /** Gives numbers between 0 and 1, for the jitter of retries. */
    readonly random?: () => number;
}

/** A command with the operator who gave it and the stated reason. */
export interface AppendRequest {
    readonly by: string;
    readonly reason: string;
    readonly command: Command;
}

/** An entry that may still serve and has not confirmed a revision. */
export interface MissingEntry {
    readonly instance: string;
    readonly boot: string;
    readonly zone: string;
    /** When it last reported its revision, in milliseconds of this entry's clock; `undefined` if it never did. */
    readonly lastHeardAtMs: number | undefined;
    /** The revision that it last reported; `undefined` if it never did. */
    readonly revision: number | undefined;
}

/** Which entries have applied a revision, as far as this entry knows. */
export interface InForce {
    readonly revision: number;
    /** True if each entry has either confirmed the revision or provably stopped serving. */
    readonly everywhere: boolean;
    /** Boots of the entries that have confirmed it. */
    readonly confirmed: readonly string[];
    readonly missing: readonly MissingEntry[];
}

/** Whether this entry is isolated from the platform and from all peers. */
export interface Isolation {
    readonly isIsolated: boolean;
    /** When the platform or a peer was last heard, or this entry started, in milliseconds of this entry's clock. */
    readonly lastHeardAtMs: number;
}

/** This entry's replica of the agreed state. Its revision never decreases. */
export interface Configuration {
    /** The current state; `undefined` until a first one is known. */
    state(): FleetState | undefined;
    /** Appends one command to the log and returns the revision at which it was accepted. */
    append(request: AppendRequest): Promise<Either<AppendFailure, number>>;
    /** Calls the listener after each change; returns a function that removes the listener. */
    onChange(listener: (state: FleetState) => void): () => void;
    /** Which entries have a revision in force, by their last reports to this entry. */
    inForce(revision: number): InForce;
    /** Waits until a revision is in force everywhere or `waitMs` have passed; returns what is known then. */
    awaitInForce(revision: number, waitMs: number): Promise<InForce>;
    /** Reads and applies the log now; returns false if the platform did not respond or its log cannot be applied. */
    refresh(): Promise<boolean>;
    isolation(): Isolation;
    /** Starts announcing this entry's revision to peers and checking for isolation. */
    start(): void;
    stop(): void;
}
