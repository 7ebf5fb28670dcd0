import type { Either } from "purify-ts";
import type { Platform, Watcher } from "../platform";
import type { Command, FleetState } from "../state";

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
    readonly watcher: Watcher;
}

export interface AppendRequest {
    readonly by: string;
    readonly reason: string;
    readonly command: Command;
}

/** The agreed state as this entry knows it; its revision never goes back. */
export interface Configuration {
    /** `undefined` until the first state is known. */
    state(): FleetState | undefined;
    /** Adds one command to the log; gives the revision that holds it. */
    append(request: AppendRequest): Promise<Either<AppendFailure, number>>;
    /** Calls the listener after each change; returns what ends it. */
    onChange(listener: (state: FleetState) => void): () => void;
}
