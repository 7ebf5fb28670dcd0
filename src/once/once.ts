import type { Problem } from "../errors";
import type { TaskEnd, TaskRequest } from "../tasks";
import type { Ticket } from "./createTickets";

/** The right to run one idempotency key, held by one attempt of this entry alone. */
export interface Claim {
    readonly team: string;
    readonly idempotencyKey: string;
    /** This boot's number for the attempt. */
    readonly number: number;
}

/**
 * What may be done with a request that may not be repeated.
 *
 * - `run`: this entry may go on; it has to call `claim` before anything is sent, and `settle` at the end.
 * - `ended`: the key has been used, or its home has run it; this is what is known of it.
 */
export type Admission =
    | { readonly kind: "run"; readonly claim: Claim; }
    | { readonly kind: "ended"; readonly end: TaskEnd; };

/** Runs a task that another entry has passed on to this one, the home of its ticket. */
export type RunHere = (request: TaskRequest, signal: AbortSignal) => Promise<TaskEnd>;

export interface Once {
    /** Issues a key that names this entry as its home; needs no call to the platform. */
    issueTicket(team: string): Ticket;
    /** Finds what is known of the key; waits for a run that is under way, wherever it is. */
    admit(request: TaskRequest, signal: AbortSignal): Promise<Admission>;
    /**
     * Makes the claim durable; must succeed before the task is sent. A problem means that this attempt must not be
     * sent, now or later. May be called again before a further send of the same attempt.
     */
    claim(claim: Claim): Promise<Problem | undefined>;
    /** Records how the attempt ended and gives what its caller is told, which is another attempt's end where one won. */
    settle(claim: Claim, end: TaskEnd, signal: AbortSignal): Promise<TaskEnd>;
    /** Names what runs the tasks that come with this entry's tickets through other entries. */
    onForwarded(run: RunHere): void;
    /** Claims, runs and bytes of answers held in memory. */
    counts(): { readonly claims: number; readonly runs: number; readonly answerBytes: number; };
    start(): void;
    stop(): Promise<void>;
}
