import type { ProblemCode } from "../errors";

/** Why a listener refuses a request before any handler sees it. None of these requests has been carried out. */
export interface RequestRefusal {
    /** HTTP status. */
    readonly status: number;
    readonly code: ProblemCode;
    readonly detail: string;
    /** When to come back, in milliseconds; `undefined` if the same request would be refused again. */
    readonly retryAfterMs?: number;
}

export const RequestRefusals = {
    bodyTooLarge: { status: 413, code: "BODY_TOO_LARGE", detail: "the body is above the limit of this entry" },
    bodyTooSlow: { status: 408, code: "BODY_TOO_SLOW", detail: "the body did not arrive in time" },
    overloaded: {
        status: 503,
        code: "OVERLOADED",
        detail: "this entry holds too much for its clients; the request was not carried out",
        retryAfterMs: 1000,
    },
    noHost: { status: 400, code: "INVALID_REQUEST", detail: "the host field is missing" },
    unknownExpectation: { status: 417, code: "INVALID_REQUEST", detail: "the expectation is not known" },
} as const satisfies Record<string, RequestRefusal>;
