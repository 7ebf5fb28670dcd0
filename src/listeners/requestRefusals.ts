/** Why a listener refuses a request before any handler sees it. None of these requests has been carried out. */
export interface RequestRefusal {
    /** HTTP status. */
    readonly status: number;
    /** Stable code in the style of the problems of the callers' interface. */
    readonly code: string;
    readonly detail: string;
    /** When to come back, in milliseconds; `undefined` if the same request would be refused again. */
    readonly retryAfterMs?: number;
}

export const RequestRefusals = {
    noHost: { status: 400, code: "INVALID_REQUEST", detail: "the host field is missing" },
    unknownExpectation: { status: 417, code: "INVALID_REQUEST", detail: "the expectation is not known" },
} as const satisfies Record<string, RequestRefusal>;
