import type { z } from "zod";
import type { AppendFailure } from "../configuration";
import { createProblem, Outcome, type Problem } from "../errors";

/** Tells an operator why a command was not accepted. */
export function toProblem(failure: AppendFailure): Problem {
    switch (failure.kind) {
        case "rejected":
            return createProblem("INTENT_REFUSED", failure.detail);
        case "unavailable":
            return createProblem("PLATFORM_UNAVAILABLE", failure.detail, { retryAfterSeconds: 5 });
        case "unknown":
            return createProblem("PLATFORM_UNAVAILABLE", failure.detail, { outcome: Outcome.Unknown });
    }
}

/** Names each field that is not valid. */
export function toFieldProblem(what: string, error: z.ZodError): Problem {
    const fields = error.issues.map(({ path, message }) => ({ field: path.join("."), message }));
    return createProblem("INVALID_REQUEST", `the ${what} is not valid`, { fields });
}
