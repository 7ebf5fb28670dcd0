export interface AdmissionInput {
    /** Time since the summary arrived, in milliseconds; `undefined` if there is none. */
    readonly summaryAgeMs: number | undefined;
    /** Wait of a new excess submission in the queue's pool, in milliseconds; 0 if the summary doesn't name the pool. */
    readonly excessWaitMs: number;
    /** Tokens of the account now. Not used without a rate. */
    readonly tokens: number;
    /** Submissions per second to which the account is entitled; 0 if it has no rate. */
    readonly weightPerSecond: number;
    /** Submissions with long-running steps and repeated ones are always accepted. */
    readonly isAlwaysAccepted: boolean;
    /** Time that the submission may wait and still meet its target, in milliseconds. */
    readonly slackMs: number;
    /** Random number from 0 to 1, which spreads the retries of clients. */
    readonly random: number;
}

/** What a refusal is based on. */
export interface AdmissionBasis {
    readonly tokens: number;
    readonly excessWaitMs: number;
    readonly slackMs: number;
    readonly summaryAgeMs: number;
}

export type AdmissionDecision =
    | { readonly kind: "accept"; }
    | { readonly kind: "refuse"; readonly basis: AdmissionBasis; readonly retryAfterMs: number; };

/** A summary older than this is not used, in milliseconds: the leader may have changed, or be out of reach. */
export const summaryLifetimeMs = 1000;

/** Bounds of the time after which a refused client is asked to retry, in milliseconds. */
const [minRetryAfterMs, maxRetryAfterMs] = [1000, 30_000];

/**
 * Decides whether a submission is accepted. It is refused only if its account is beyond its rate and the work that is
 * waiting would make it miss its target.
 */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
    const { summaryAgeMs, excessWaitMs, tokens, weightPerSecond } = input;
    if (
        input.isAlwaysAccepted || weightPerSecond <= 0 || summaryAgeMs === undefined
        || summaryAgeMs >= summaryLifetimeMs
    ) {
        return { kind: "accept" };
    }
    const slackMs = Math.max(0, input.slackMs);
    if (tokens >= 1 || excessWaitMs <= slackMs) {
        return { kind: "accept" };
    }
    const untilTokenMs = (1 - tokens) / weightPerSecond * 1000;
    // With nothing more accepted, the wait shrinks by one millisecond each millisecond.
    const untilInTimeMs = excessWaitMs - slackMs;
    const retryAfterMs = Math.max(untilTokenMs, untilInTimeMs) * (1 + input.random);
    return {
        kind: "refuse",
        basis: { tokens, excessWaitMs, slackMs, summaryAgeMs },
        retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, retryAfterMs)),
    };
}
