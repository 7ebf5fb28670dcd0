import { createProblem, Outcome, type Problem, type ProblemCode } from "../errors";
import type { TaskEnd } from "../tasks";

/** Seconds until a request refused for want of the platform is worth sending again. */
const platformRetrySeconds = 2;

const sendAgainHint = "Send it again with the same key after Retry-After: it cannot run twice. "
    + "A task with a ticket is taken without the platform.";

/** What callers are told of a key; each says no more than this entry can know. */
export const onceEnds = {
    /** The platform cannot be asked: nobody here can tell whether an earlier request with the key has run. */
    platformSilent: () => {
        const detail = "this attempt was not sent to a worker; whether an earlier one with the same key was cannot be "
            + "told while the platform does not answer";
        const opts = { outcome: Outcome.Unknown, retryAfterSeconds: platformRetrySeconds };
        return end({ ...createProblem("PLATFORM_UNAVAILABLE", detail, opts), hint: sendAgainHint });
    },
    /** The attempt that holds the key ended before it was sent, or was refused by the worker, for good. */
    spent: () => problemEnd("ALREADY_CLAIMED", "the attempt that holds this key ended without running", Outcome.NotRun),
    reused: () => problemEnd("KEY_REUSED", "the key came before with other work", Outcome.NotRun),
    /** The holder cannot be asked, or has forgotten. */
    holderLost: (detail: string) => problemEnd("OUTCOME_UNKNOWN", detail, Outcome.Unknown),
    homeUnreachable: () => {
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
    memoryFull: () => end(createProblem("QUEUE_FULL", "too many keys are under way here", { retryAfterSeconds: 1 })),
    answerNotKept: () =>
        problemEnd("ALREADY_CLAIMED", "the task ran and was answered; its answer is no longer kept", Outcome.Answered),
};

export function end(problem: Problem): TaskEnd {
    return { kind: "problem", problem };
}

function problemEnd(code: ProblemCode, detail: string, outcome: Outcome): TaskEnd {
    return end(createProblem(code, detail, { outcome }));
}

/** True where the end says that the attempt has not run. */
export function isNotRun(taskEnd: TaskEnd): boolean {
    return taskEnd.kind === "problem" && taskEnd.problem.outcome === Outcome.NotRun;
}

/** A claim that ended "not run" stays so: the hint must not invite the caller to send the same key again. */
export function withSpentHint(taskEnd: TaskEnd): TaskEnd {
    if (taskEnd.kind === "answered") {
        return taskEnd;
    }
    const { retryAfterSeconds: _never, ...problem } = taskEnd.problem;
    return end({ ...problem, hint: "This key is used up and will never run; send the work with a new key." });
}

/** Keeps the refusal but says what an entry that cannot see the claims may say. */
export function withUnknownHistory(taskEnd: TaskEnd): TaskEnd {
    if (!isNotRun(taskEnd) || taskEnd.kind === "answered") {
        return taskEnd;
    }
    const detail = `${taskEnd.problem.detail}; this attempt did not run, but whether an earlier one with the same key `
        + "did cannot be told now";
    return end({ ...taskEnd.problem, detail, outcome: Outcome.Unknown, hint: sendAgainHint });
}
