import { createProblem, Outcome, type ProblemCode } from "../errors";
import type { TaskEnd } from "../tasks";
import type { TaskResult } from "../workers";
import type { Try } from "./createTries";
import type { WaitingTask } from "./waitingTask";

/** What to do after a try. */
export type NextStep =
    | { readonly kind: "end"; readonly end: TaskEnd; }
    /** Nothing of it ran; it takes its turn again and loses nothing. */
    | { readonly kind: "again"; }
    /** It ran and may run again on another worker, if the retry budget allows; otherwise this is its end. */
    | { readonly kind: "retry"; readonly end: TaskEnd; }
    /** It was stopped for others and goes on later. */
    | { readonly kind: "resume"; readonly checkpoint?: string; };

/** Ends a task that waits. The outcome is "not run" only where no try of it was ever started. */
export function createWaitingEnd(
    waiting: WaitingTask,
    code: ProblemCode,
    detail: string,
    retryAfterSeconds?: number,
): TaskEnd {
    const outcome = waiting.startedTries > 0 ? Outcome.Unknown : Outcome.NotRun;
    return createEnd(code, detail, outcome, retryAfterSeconds);
}

export function createEnd(
    code: ProblemCode,
    detail: string,
    outcome: Outcome,
    retryAfterSeconds?: number,
): TaskEnd {
    const comeBack = retryAfterSeconds === undefined ? {} : { retryAfterSeconds };
    return { kind: "problem", problem: createProblem(code, detail, { outcome, ...comeBack }) };
}

/** Reads what a try came to. Only a repeatable task is ever sent again once a worker may have started it. */
export function readResult(one: Try, result: TaskResult): NextStep {
    const { waiting, stopping } = one;
    switch (result.kind) {
        case "answered":
            return { kind: "end", end: { kind: "answered", body: result.body, instance: one.instance.name } };
        case "failed":
            return afterRun(one, createEnd("TASK_FAILED", result.detail, Outcome.Answered));
        case "notRun":
            return stopping === "cancelled"
                ? { kind: "end", end: createWaitingEnd(waiting, "CANCELLED", "cancelled before it started") }
                : { kind: "again" };
        case "stopped":
            if (stopping === "cancelled") {
                return {
                    kind: "end",
                    end: createEnd("CANCELLED", "cancelled after it had started", Outcome.Unknown),
                };
            }
            if (result.reason === "checkpoint" && waiting.task.repeatable) {
                return { kind: "resume", ...result.checkpoint === undefined ? {} : { checkpoint: result.checkpoint } };
            }
            return afterRun(
                one,
                createEnd("OUTCOME_UNKNOWN", `the worker stopped the task: ${result.reason}`, Outcome.Unknown),
            );
        case "unknown":
            return afterRun(one, createEnd("OUTCOME_UNKNOWN", `no answer: ${result.reason}`, Outcome.Unknown));
    }
}

function afterRun({ waiting, stopping }: Try, end: TaskEnd): NextStep {
    return waiting.task.repeatable && stopping !== "cancelled" ? { kind: "retry", end } : { kind: "end", end };
}
