import type { Promised } from "./judge";

/** What is proved of a promise, by which command, and what is not. */
export interface Proof {
    readonly promise: Promised;
    readonly proved: readonly string[];
    readonly notProved: readonly string[];
}

export const proofs: readonly Proof[] = [];
