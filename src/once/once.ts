import type { Problem } from "../errors";
import type { TaskEnd, TaskRequest } from "../tasks";

/** The right to run one idempotency key, held by this entry alone. */
export interface Claim {
    readonly team: string;
    readonly idempotencyKey: string;
}

/**
 * What may be done with a request that may not be repeated.
 *
 * - `run`: this entry may go on; it has to call `claim` before anything is sent.
 * - `ended`: the key has been used; this is what is known of it.
 */
export type Admission =
    | { readonly kind: "run"; readonly claim: Claim; }
    | { readonly kind: "ended"; readonly end: TaskEnd; };

export interface Once {
    /** Finds the key's home and what is known of the key; waits for a run that is under way. */
    admit(request: TaskRequest, signal: AbortSignal): Promise<Admission>;
    /** Makes the claim durable; must succeed before the task is sent. Gives a problem where it may not run. */
    claim(claim: Claim): Promise<Problem | undefined>;
    /** Records how the run ended; later requests with the same key are told the same. */
    settle(claim: Claim, end: TaskEnd): void;
    start(): void;
    stop(): Promise<void>;
}
