import type { Problem } from "../errors";
import type { TaskEnd, TaskRequest } from "../tasks";
import type { Ticket } from "./createTickets";

/** Identifies one attempt of this entry to run the request with an idempotency key. */
export interface Claim {
    readonly team: string;
    readonly idempotencyKey: string;
    /** Number of the attempt, unique within this boot (one run of the entry process). */
    readonly number: number;
}

/**
 * How to proceed with a request that must not run twice.
 *
 * - `run`: this entry may run it; it must call `claim` before it sends anything to a worker, and `settle` at the end.
 * - `ended`: this entry must not run it, and returns `end`: the key has been used, the ticket's issuer has run it, or
 *   the request is refused.
 */
export type Admission =
    | { readonly kind: "run"; readonly claim: Claim; }
    | { readonly kind: "ended"; readonly end: TaskEnd; };

/** Runs a task that another entry has forwarded to this one, the issuer of its ticket. */
export type RunForwardedTask = (request: TaskRequest, signal: AbortSignal) => Promise<TaskEnd>;

/** Ensures that a request which must not be repeated runs at most once for each idempotency key. */
export interface IdempotencyGuard {
    /** Issues an idempotency key that only this entry may run; needs no call to the platform. */
    issueTicket(team: string): Ticket;
    /** Looks the key up; where an attempt with this key is running, on this entry or another, waits for its end. */
    admit(request: TaskRequest, signal: AbortSignal): Promise<Admission>;
    /**
     * Makes the claim durable; must succeed before the task is sent to a worker. If it returns a problem, this attempt
     * must never be sent. May be called again before the same attempt is sent another time.
     */
    claim(claim: Claim): Promise<Problem | undefined>;
    /**
     * Records how the attempt ended; returns the end for its caller, which is another attempt's if that one holds the
     * key.
     */
    settle(claim: Claim, end: TaskEnd, signal: AbortSignal): Promise<TaskEnd>;
    /** Sets the function that runs tasks which other entries forward because this entry issued their tickets. */
    setForwardedRunner(run: RunForwardedTask): void;
    /** Number of claims, runs and characters of answers held in memory. */
    counts(): { readonly claims: number; readonly runs: number; readonly answerBytes: number; };
    start(): void;
    stop(): Promise<void>;
}
