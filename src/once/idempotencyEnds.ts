import { createProblem, Outcome, type Problem, type ProblemCode } from "../errors";
import type { TaskEnd } from "../tasks";

/** Retry-After, in seconds, of a request refused because the platform or the ticket's issuer is unavailable. */
const platformRetrySeconds = 2;

const sendAgainHint = "Send it again with the same key after Retry-After: it cannot run twice. "
    + "A task with a ticket is taken without the platform.";

/** Ends that callers receive for a key; each claims no more than this entry can know. */
export const idempotencyEnds = {
    /** The platform does not answer, so this entry cannot know whether an earlier request with the key has run. */
    platformUnavailable: () => {
        const detail = "this attempt was not sent to a worker; whether an earlier one with the same key was cannot be "
            + "told while the platform does not answer";
        const opts = { outcome: Outcome.Unknown, retryAfterSeconds: platformRetrySeconds };
        return end({ ...createProblem("PLATFORM_UNAVAILABLE", detail, opts), hint: sendAgainHint });
    },
    /** The attempt that holds the key ended without running; this is final, also for later requests with the key. */
    endedWithoutRunning: () =>
        problemEnd("ALREADY_CLAIMED", "the attempt that holds this key ended without running", Outcome.NotRun),
    keyReused: () => problemEnd("KEY_REUSED", "the key came before with other work", Outcome.NotRun),
    /** The attempt that holds the key cannot be queried, or its outcome is no longer stored. */
    outcomeUnknown: (detail: string) => problemEnd("OUTCOME_UNKNOWN", detail, Outcome.Unknown),
    issuerUnreachable: () => {
        const detail = "the entry that issued the ticket cannot be reached; a used ticket cannot be told from an "
            + "unused one";
        const opts = { outcome: Outcome.Unknown, retryAfterSeconds: platformRetrySeconds };
        const hint = "Send it again with the same ticket: it cannot run twice. Do not take a new ticket for the same "
            + "work before reconciling.";
        return end({ ...createProblem("OUTCOME_UNKNOWN", detail, opts), hint });
    },
    ticketExpired: () => problemEnd("TICKET_EXPIRED", "the ticket is too old to be run", Outcome.Unknown),
    ticketForged: () =>
        end(createProblem("INVALID_REQUEST", "the ticket was not issued to this team", {
            fields: [{ field: "idempotencyKey", message: "not a ticket that was issued to this team" }],
        })),
    tooManyRuns: () => end(createProblem("QUEUE_FULL", "too many keys are under way here", { retryAfterSeconds: 1 })),
    answerNotRetained: () =>
        problemEnd("ALREADY_CLAIMED", "the task ran and was answered; its answer is no longer kept", Outcome.Answered),
};

export function end(problem: Problem): TaskEnd {
    return { kind: "problem", problem };
}

function problemEnd(code: ProblemCode, detail: string, outcome: Outcome): TaskEnd {
    return end(createProblem(code, detail, { outcome }));
}

/** Whether the end states that the attempt has not run. */
export function isNotRun(taskEnd: TaskEnd): boolean {
    return taskEnd.kind === "problem" && taskEnd.problem.outcome === Outcome.NotRun;
}

/**
 * Removes Retry-After and replaces the hint of an end "not run". A claim that ended "not run" is final, so the hint
 * must not invite the caller to send the same key again.
 */
export function withNewKeyHint(taskEnd: TaskEnd): TaskEnd {
    if (taskEnd.kind === "answered") {
        return taskEnd;
    }
    const { retryAfterSeconds: _removed, ...problem } = taskEnd.problem;
    return end({ ...problem, hint: "This key is used up and will never run; send the work with a new key." });
}

/** Turns a refusal "not run" into "unknown", for an entry that cannot read the claims; other ends stay as they are. */
export function withUnknownOutcome(taskEnd: TaskEnd): TaskEnd {
    if (!isNotRun(taskEnd) || taskEnd.kind === "answered") {
        return taskEnd;
    }
    const detail = `${taskEnd.problem.detail}; this attempt did not run, but whether an earlier one with the same key `
        + "did cannot be told now";
    return end({ ...taskEnd.problem, detail, outcome: Outcome.Unknown, hint: sendAgainHint });
}
