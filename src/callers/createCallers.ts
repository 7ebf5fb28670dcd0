import type { Context, ServiceSchema } from "moleculer";
import { randomUUID } from "node:crypto";
import type { Configuration } from "../configuration";
import { createProblem, type Problem } from "../errors";
import type { HttpMeta } from "../http";
import { authenticateTeam } from "../keys";
import { taskBodySchema, type TaskEnd, type TaskRequest, type Tasks } from "../tasks";

export interface CallersOptions {
    readonly boot: string;
    readonly configuration: Configuration;
    readonly tasks: Tasks;
    readonly isStopping: () => boolean;
}

/** Names the moleculer service whose actions the gateway calls for callers. */
export function createCallers(opts: CallersOptions): ServiceSchema {
    function checkRequest(ctx: Context<unknown, HttpMeta>): TaskRequest | Problem {
        const state = opts.configuration.state();
        if (state === undefined) {
            return createProblem("NOT_READY", "this entry has not learnt the configuration", { retryAfterSeconds: 1 });
        }
        if (opts.isStopping()) {
            return createProblem("STOPPING", "this entry is being stopped", { retryAfterSeconds: 0 });
        }
        const authenticated = authenticateTeam(state, ctx.meta.secret ?? "");
        if (authenticated === undefined) {
            return createProblem("KEY_REJECTED", "the key that came with the task is not accepted");
        }
        const parsed = taskBodySchema.safeParse(ctx.params);
        if (!parsed.success) {
            const fields = parsed.error.issues.map(({ path, message }) => ({ field: path.join("."), message }));
            return createProblem("INVALID_REQUEST", "the task is not valid", { fields });
        }
        const { wait: _wait, deadlineMs, idempotencyKey, ...body } = parsed.data;
        if (!(state.teams[authenticated.team]?.pools.includes(body.pool) ?? false)) {
            return createProblem("POOL_FORBIDDEN", `team ${authenticated.team} may not use pool ${body.pool}`);
        }
        return {
            ...body,
            ...idempotencyKey === undefined ? {} : { idempotencyKey },
            id: `${opts.boot}.${randomUUID()}`,
            team: authenticated.team,
            keyId: authenticated.keyId,
            deadlineAtMs: Date.now() + deadlineMs,
        };
    }

    return {
        name: "callers",
        actions: {
            async submit(ctx: Context<unknown, HttpMeta>) {
                const request = checkRequest(ctx);
                if ("code" in request) {
                    return answerProblem(ctx, request);
                }
                const end = await opts.tasks.run(request, ctx.meta.signal ?? new AbortController().signal);
                return answerEnd(ctx, request, end);
            },
        },
    };
}

function answerEnd(ctx: Context<unknown, HttpMeta>, request: TaskRequest, end: TaskEnd): unknown {
    switch (end.kind) {
        case "answered":
            return { id: request.id, outcome: "answered", instance: end.instance, body: end.body };
        case "problem":
            return answerProblem(ctx, end.problem);
    }
}

function answerProblem(ctx: Context<unknown, HttpMeta>, problem: Problem): Problem {
    ctx.meta.$statusCode = problem.status;
    ctx.meta.$responseType = "application/problem+json";
    if (problem.retryAfterSeconds !== undefined) {
        ctx.meta.$responseHeaders = { "retry-after": String(problem.retryAfterSeconds) };
    }
    return problem;
}
