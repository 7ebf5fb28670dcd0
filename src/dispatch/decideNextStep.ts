import { createProblem, Outcome, type ProblemCode } from "../errors";
import type { TaskEnd } from "../tasks";
import type { TaskResult } from "../workers";
import type { Attempt } from "./createLeasedAttempts";
import type { WaitingTask } from "./waitingTask";

/** What happens to a task after an attempt. */
export type NextStep =
    | { readonly kind: "end"; readonly end: TaskEnd; }
    /** The attempt did not run; the task is requeued at the front, and no retry is counted. */
    | { readonly kind: "again"; }
    /** It may have run and may run again on another worker if the retry budget allows; otherwise this is its end. */
    | { readonly kind: "retry"; readonly end: TaskEnd; }
    /** It was stopped at a checkpoint to free its slot and continues later. */
    | { readonly kind: "resume"; readonly checkpoint?: string; };

/** Creates the end of a task that waits. The outcome is "not run" only if no attempt was ever started. */
export function createWaitingTaskEnd(
    waiting: WaitingTask,
    code: ProblemCode,
    detail: string,
    retryAfterSeconds?: number,
): TaskEnd {
    const outcome = waiting.startedAttempts > 0 ? Outcome.Unknown : Outcome.NotRun;
    return createProblemEnd(code, detail, outcome, retryAfterSeconds);
}

/** Creates the end of a task that has no answer. */
export function createProblemEnd(
    code: ProblemCode,
    detail: string,
    outcome: Outcome,
    retryAfterSeconds?: number,
): TaskEnd {
    const retryAfter = retryAfterSeconds === undefined ? {} : { retryAfterSeconds };
    return { kind: "problem", problem: createProblem(code, detail, { outcome, ...retryAfter }) };
}

/**
 * Decides what happens after an attempt. Once a worker may have started a task, only a repeatable one is sent again.
 */
export function decideNextStep(attempt: Attempt, result: TaskResult): NextStep {
    const { waiting, stopping } = attempt;
    switch (result.kind) {
        case "answered":
            return { kind: "end", end: { kind: "answered", body: result.body, instance: attempt.instance.name } };
        case "failed":
            return retryOrEnd(attempt, createProblemEnd("TASK_FAILED", result.detail, Outcome.Answered));
        case "notRun":
            return stopping === "cancelled"
                ? { kind: "end", end: createWaitingTaskEnd(waiting, "CANCELLED", "cancelled before it started") }
                : { kind: "again" };
        case "stopped":
            if (stopping === "cancelled") {
                return {
                    kind: "end",
                    end: createProblemEnd("CANCELLED", "cancelled after it had started", Outcome.Unknown),
                };
            }
            if (result.reason === "checkpoint" && waiting.task.repeatable) {
                return { kind: "resume", ...result.checkpoint === undefined ? {} : { checkpoint: result.checkpoint } };
            }
            return retryOrEnd(
                attempt,
                createProblemEnd("OUTCOME_UNKNOWN", `the worker stopped the task: ${result.reason}`, Outcome.Unknown),
            );
        case "unknown":
            return retryOrEnd(
                attempt,
                createProblemEnd("OUTCOME_UNKNOWN", `no answer: ${result.reason}`, Outcome.Unknown),
            );
    }
}

function retryOrEnd({ waiting, stopping }: Attempt, end: TaskEnd): NextStep {
    return waiting.task.repeatable && stopping !== "cancelled" ? { kind: "retry", end } : { kind: "end", end };
}
