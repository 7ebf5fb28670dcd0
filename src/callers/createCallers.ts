import type { Context, ServiceSchema } from "moleculer";
import { randomUUID } from "node:crypto";
import type { Configuration } from "../configuration";
import { createProblem, type Problem } from "../errors";
import type { HttpMeta } from "../http";
import { type AuthenticatedTeam, authenticateTeam } from "../keys";
import type { Reporter } from "../logging";
import type { Members } from "../members";
import type { Metrics } from "../metrics";
import type { IdempotencyGuard } from "../once";
import type { Peers } from "../peers";
import type { FleetState } from "../state";
import type { TaskEnd, TaskRequest, Tasks } from "../tasks";
import { createTaskFinder, maxWaitMs, type TaskStatus } from "./createTaskFinder";
import { createTaskTable } from "./createTaskTable";
import { readTask } from "./readTask";

export interface CallersOptions {
    readonly boot: string;
    readonly configuration: Configuration;
    readonly tasks: Tasks;
    readonly once: IdempotencyGuard;
    readonly peers: Peers;
    readonly members: Members;
    readonly report: Reporter;
    readonly metrics: Metrics;
    readonly isStopping: () => boolean;
}

type CallerContext = Context<unknown, HttpMeta>;
type Handler = (ctx: CallerContext, caller: AuthenticatedTeam, state: FleetState) => Promise<unknown>;

const tableLimits = { maxTasks: 10_000, maxAnswerChars: 8 * 1024 * 1024, keptMs: 600_000 };
/** How long a cancelled task may take to end before it is shown as running still, in milliseconds. */
const cancelWaitMs = 1000;

/** Names the moleculer service whose actions the gateway calls for callers. */
export function createCallers(opts: CallersOptions): ServiceSchema {
    const table = createTaskTable(tableLimits);
    const findTask = createTaskFinder({ peers: opts.peers, members: opts.members, table });

    function guard(handler: Handler) {
        return async (ctx: CallerContext) => {
            const state = opts.configuration.state();
            const caller = state === undefined ? undefined : authenticateTeam(state, ctx.meta.secret ?? "");
            if (state === undefined) {
                const detail = "this entry has not learnt the configuration";
                return refuse(ctx, createProblem("NOT_READY", detail, { retryAfterSeconds: 1 }));
            }
            return caller === undefined
                ? refuse(ctx, createProblem("KEY_REJECTED", "the key that came with the request is not accepted"))
                : handler(ctx, caller, state);
        };
    }

    const submit: Handler = async (ctx, caller, state) => {
        if (opts.isStopping()) {
            return refuse(ctx, createProblem("STOPPING", "this entry is being stopped", { retryAfterSeconds: 0 }));
        }
        const read = readTask(ctx.params, caller, state, `${opts.boot}.${randomUUID()}`);
        if ("code" in read) {
            return refuse(ctx, read);
        }
        const { request, isAwaited } = read;
        return isAwaited
            ? answerEnd(ctx, request.id, await runMeasured(request, createSignal(ctx, request)))
            : accept(ctx, request);
    };

    function accept(ctx: CallerContext, request: TaskRequest): unknown {
        const task = table.add(request.id, request.team, (signal) => runMeasured(request, signal));
        if (task === undefined) {
            return refuse(ctx, createProblem("QUEUE_FULL", "too many tasks are kept here", { retryAfterSeconds: 1 }));
        }
        ctx.meta.$statusCode = 202;
        ctx.meta.$responseHeaders = { location: `/v1/tasks/${request.id}` };
        return { id: request.id, state: "running" };
    }

    async function runMeasured(request: TaskRequest, signal: AbortSignal): Promise<TaskEnd> {
        const endTimer = opts.metrics.taskDuration.startTimer();
        opts.metrics.runningTasks.inc();
        const end = await opts.tasks.run(request, signal);
        opts.metrics.runningTasks.dec();
        endTimer();
        const outcome = end.kind === "answered" ? "answered" : end.problem.outcome;
        opts.metrics.tasks.inc({ outcome, code: end.kind === "answered" ? "" : end.problem.code });
        reportRefusal(request, end);
        return end;
    }

    function reportRefusal({ id: requestId, team, pool }: TaskRequest, end: TaskEnd): void {
        if (end.kind === "problem") {
            const { code, detail: reason } = end.problem;
            opts.report({ kind: "refused", requestId, team, pool, code, reason, candidates: 0 });
        }
    }

    function refuse(ctx: CallerContext, problem: Problem): Problem {
        opts.metrics.tasks.inc({ outcome: problem.outcome, code: problem.code });
        return answerProblem(ctx, problem);
    }

    const show: Handler = async (ctx, { team }) => {
        const { id, waitMs } = readQuestion(ctx);
        return answerStatus(ctx, id, await findTask({ id, team, action: "show", waitMs }));
    };

    const cancel: Handler = async (ctx, { team }) => {
        const { id } = readQuestion(ctx);
        return answerStatus(ctx, id, await findTask({ id, team, action: "cancel", waitMs: cancelWaitMs }));
    };

    const issueTicket: Handler = async (ctx, { team }) => {
        if (opts.isStopping()) {
            return refuse(ctx, createProblem("STOPPING", "this entry is being stopped", { retryAfterSeconds: 0 }));
        }
        const { ticket, lifetimeMs } = opts.once.issueTicket(team);
        ctx.meta.$statusCode = 201;
        return { ticket, lifetimeMs };
    };

    return {
        name: "callers",
        actions: {
            submit: guard(submit),
            show: guard(show),
            cancel: guard(cancel),
            issueTicket: guard(issueTicket),
        },
    };
}

/**
 * A caller that goes away cancels its repeatable task. A task that may not be repeated goes on: its caller cannot
 * know whether it has started, and asks with the same key.
 */
function createSignal(ctx: CallerContext, request: TaskRequest): AbortSignal {
    return request.repeatable && ctx.meta.signal !== undefined ? ctx.meta.signal : new AbortController().signal;
}

function readQuestion(ctx: CallerContext): { readonly id: string; readonly waitMs: number; } {
    const { id, waitMs } = ctx.params as Record<string, unknown>;
    const asked = Number(waitMs ?? 0);
    return { id: String(id), waitMs: Number.isFinite(asked) ? Math.min(maxWaitMs, Math.max(0, asked)) : 0 };
}

function answerStatus(ctx: CallerContext, id: string, status: TaskStatus | Problem): unknown {
    if ("code" in status) {
        return answerProblem(ctx, status);
    }
    switch (status.kind) {
        case "running":
            return { id, state: "running" };
        case "ended":
            return answerEnd(ctx, id, status.end);
        case "unseen":
            return answerProblem(
                ctx,
                createProblem("NOT_FOUND", "no such task of this team is known; its result may no longer be kept", {
                    outcome: "unknown",
                }),
            );
    }
}

function answerEnd(ctx: CallerContext, id: string, end: TaskEnd): unknown {
    switch (end.kind) {
        case "answered":
            return { id, state: "ended", outcome: "answered", instance: end.instance, body: end.body };
        case "problem":
            return answerProblem(ctx, end.problem);
    }
}

function answerProblem(ctx: CallerContext, problem: Problem): Problem {
    ctx.meta.$statusCode = problem.status;
    ctx.meta.$responseType = "application/problem+json";
    if (problem.retryAfterSeconds !== undefined) {
        ctx.meta.$responseHeaders = { "retry-after": String(problem.retryAfterSeconds) };
    }
    return problem;
}
