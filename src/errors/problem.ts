/**
 * What is known about a caller's request when it ends.
 *
 * - `answered`: the task ran, and this is its answer.
 * - `not run`: the task did not start, and this attempt cannot start later.
 * - `unknown`: the task may have run; only the caller's own records can show whether it did.
 */
export const Outcome = {
    Answered: "answered",
    NotRun: "not run",
    Unknown: "unknown",
} as const;
export type Outcome = typeof Outcome[keyof typeof Outcome];

interface ProblemKind {
    /** HTTP status code. */
    readonly status: number;
    readonly title: string;
    readonly hint: string;
}

/** Every problem that the HTTP interfaces can return. The keys are stable. */
export const problemCodes = {
    INVALID_REQUEST: { status: 400, title: "The request is not valid", hint: "Correct the named fields." },
    KEY_REJECTED: { status: 401, title: "The key is unknown or withdrawn", hint: "Ask your operator for a new key." },
    OPERATOR_REJECTED: { status: 401, title: "The operator credential is not accepted", hint: "Check the credential." },
    POOL_FORBIDDEN: { status: 403, title: "The team may not use this pool", hint: "Ask your operator." },
    NOT_FOUND: { status: 404, title: "There is no such thing", hint: "Check the name." },
    ALREADY_CLAIMED: {
        status: 409,
        title: "The idempotency key was used before",
        hint: "Reconcile, then use a new key for new work.",
    },
    KEY_REUSED: {
        status: 409,
        title: "The idempotency key belongs to other work",
        hint: "Use a new key for new work; send the same pool, size and payload to ask for the earlier one.",
    },
    TICKET_EXPIRED: {
        status: 410,
        title: "The ticket's time is over",
        hint: "If the ticket was never sent before, take a new one; else reconcile first.",
    },
    CLAIMS_FULL: {
        status: 503,
        title: "No further idempotency key can be recorded now",
        hint: "Take a ticket instead, or come back after Retry-After.",
    },
    REVISION_MOVED: { status: 409, title: "The configuration has moved on", hint: "Make the plan again." },
    INTENT_REFUSED: { status: 409, title: "The intent cannot be carried out", hint: "Read the reasons." },
    BODY_TOO_LARGE: { status: 413, title: "The body is too large", hint: "Send less." },
    NEVER_FITS: { status: 422, title: "No instance of the pool can ever run this", hint: "Ask for less." },
    LIMIT_REACHED: { status: 429, title: "The team's upper limit is reached", hint: "Come back after Retry-After." },
    QUEUE_FULL: { status: 429, title: "Too much work is waiting", hint: "Come back after Retry-After." },
    DEADLINE_PASSED: { status: 504, title: "The deadline passed before the task started", hint: "Allow more time." },
    CANCELLED: { status: 409, title: "The task was cancelled", hint: "Send it again if it is still wanted." },
    NO_WORKER: { status: 503, title: "No worker can take the task now", hint: "Come back after Retry-After." },
    STOPPING: { status: 503, title: "This entry is stopping", hint: "Send the request again at once." },
    NOT_READY: { status: 503, title: "No configuration is known yet", hint: "Come back after Retry-After." },
    PLATFORM_UNAVAILABLE: {
        status: 503,
        title: "The platform's service does not answer",
        hint: "Come back after Retry-After; a task with a ticket is taken without it.",
    },
    OUTCOME_UNKNOWN: {
        status: 502,
        title: "The task may have run",
        hint: "Do not send it again before reconciling.",
    },
    ANSWER_TOO_LARGE: {
        status: 502,
        title: "The task ran, and its answer cannot be passed on",
        hint: "Ask the entry that took the task, or let the task answer with less.",
    },
    BODY_TOO_SLOW: { status: 408, title: "The body did not arrive in time", hint: "Send the whole body at once." },
    OVERLOADED: {
        status: 503,
        title: "This entry holds too much for its clients",
        hint: "Come back after Retry-After, or send the request to another entry.",
    },
    TASK_FAILED: { status: 502, title: "The worker ran the task and it failed", hint: "Read the detail." },
} as const satisfies Record<string, ProblemKind>;

export type ProblemCode = keyof typeof problemCodes;

/** A problem document as in RFC 9457, with the outcome of the request and the delay before a retry. */
export interface Problem {
    readonly code: ProblemCode;
    readonly status: number;
    readonly title: string;
    readonly detail: string;
    readonly hint: string;
    readonly outcome: Outcome;
    /** Seconds after which a retry is worthwhile; absent if a retry is not. */
    readonly retryAfterSeconds?: number;
    /** The invalid fields, each with its reason. */
    readonly fields?: readonly { readonly field: string; readonly message: string; }[];
}
