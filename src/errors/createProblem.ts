import { Outcome, type Problem, type ProblemCode, problemCodes } from "./problem";

interface ProblemOptions {
    readonly outcome?: Outcome;
    readonly retryAfterSeconds?: number;
    readonly fields?: Problem["fields"];
}

/** Creates a problem document; the outcome is `not run` unless the options set another one. */
export function createProblem(code: ProblemCode, detail: string, opts: ProblemOptions = {}): Problem {
    const { status, title, hint } = problemCodes[code];
    return {
        code,
        status,
        title,
        detail,
        hint,
        outcome: opts.outcome ?? Outcome.NotRun,
        ...opts.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: opts.retryAfterSeconds },
        ...opts.fields === undefined ? {} : { fields: opts.fields },
    };
}
