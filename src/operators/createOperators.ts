import type { Context, ServiceSchema } from "moleculer";
import { timingSafeEqual } from "node:crypto";
import type { AppendFailure, Configuration } from "../configuration";
import { createProblem, Outcome, type Problem } from "../errors";
import type { HttpMeta } from "../http";
import { authenticateOperator, createSecret, hashSecret } from "../keys";
import type { Peers } from "../peers";
import { createPlan, intentSchema, type Plan } from "../plans";
import { type Change, createEmptyState, type FleetState } from "../state";

export interface OperatorsOptions {
    readonly configuration: Configuration;
    readonly peers: Peers;
    /** SHA-256 of a credential that is accepted besides those in the state. */
    readonly operatorHash: string | undefined;
}

/** Plans kept for confirmation; the oldest are forgotten first. */
const maxKeptPlans = 100;

type OperatorContext<T = unknown> = Context<T, HttpMeta>;
type Handler = (ctx: OperatorContext<Record<string, unknown>>, operator: string, state: FleetState) => Promise<unknown>;

/** Names the moleculer service whose actions the gateway calls for operators. */
export function createOperators(opts: OperatorsOptions): ServiceSchema {
    const plans = new Map<string, Plan>();

    function guard(handler: Handler) {
        return async (ctx: OperatorContext<Record<string, unknown>>) => {
            const state = opts.configuration.state() ?? createEmptyState();
            const operator = findOperator(state, ctx.meta.secret ?? "");
            const answer = operator === undefined
                ? createProblem("OPERATOR_REJECTED", "the operator credential is not accepted")
                : await handler(ctx, operator, state);
            return isProblem(answer) ? answerProblem(ctx, answer) : answer;
        };
    }

    function findOperator(state: FleetState, credential: string): string | undefined {
        const isFirst = opts.operatorHash !== undefined
            && timingSafeEqual(Buffer.from(opts.operatorHash, "hex"), Buffer.from(hashSecret(credential), "hex"));
        return isFirst ? "first-operator" : authenticateOperator(state, credential);
    }

    async function change(by: string, reason: string, changes: readonly Change[]): Promise<number | Problem> {
        const appended = await opts.configuration.append({ by, reason, command: { kind: "change", changes } });
        return appended.mapLeft(toProblem).extract();
    }

    const makePlan: Handler = async (ctx, _operator, state) => {
        const parsed = intentSchema.safeParse(ctx.params);
        if (!parsed.success) {
            const fields = parsed.error.issues.map(({ path, message }) => ({ field: path.join("."), message }));
            return createProblem("INVALID_REQUEST", "the intent is not valid", { fields });
        }
        const plan = createPlan(state, parsed.data);
        plans.set(plan.id, plan);
        [...plans.keys()].slice(0, -maxKeptPlans).forEach((id) => plans.delete(id));
        return plan;
    };

    const confirmPlan: Handler = async (ctx, operator, state) => {
        const plan = plans.get(String(ctx.params["id"]));
        if (plan === undefined) {
            return createProblem("NOT_FOUND", "there is no such plan; make it again");
        }
        if (plan.madeAtRevision !== state.revision) {
            const detail = `the plan was made at revision ${plan.madeAtRevision}, now it is ${state.revision}`;
            return createProblem("REVISION_MOVED", detail);
        }
        const revision = await change(operator, plan.reason, plan.changes);
        return isProblem(revision) ? revision : { id: plan.id, revision };
    };

    const grantKey: Handler = async (ctx, operator) => {
        const secret = createSecret();
        const key = { hash: secret.hash, grantedAtMs: Date.now() };
        const changes = [{ kind: "grantKey", team: String(ctx.params["team"]), keyId: secret.id, key } as const];
        const revision = await change(operator, "grant a key", changes);
        return isProblem(revision) ? revision : { keyId: secret.id, key: secret.text, revision };
    };

    const withdrawKey: Handler = async (ctx, operator) => {
        const keyId = String(ctx.params["id"]);
        const revision = await change(operator, "withdraw a key", [{ kind: "withdrawKey", keyId }]);
        return isProblem(revision) ? revision : { keyId, revision };
    };

    return {
        name: "operators",
        actions: {
            plan: guard(makePlan),
            confirm: guard(confirmPlan),
            grantKey: guard(grantKey),
            withdrawKey: guard(withdrawKey),
            state: guard((_ctx, _operator, state) => Promise.resolve(state)),
            entries: guard(() => Promise.resolve([opts.peers.self, ...opts.peers.connected()])),
        },
    };
}

function isProblem(answer: unknown): answer is Problem {
    return typeof answer === "object" && answer !== undefined && "code" in (answer as object);
}

function toProblem(failure: AppendFailure): Problem {
    switch (failure.kind) {
        case "rejected":
            return createProblem("INTENT_REFUSED", failure.detail);
        case "unavailable":
            return createProblem("PLATFORM_UNAVAILABLE", failure.detail, { retryAfterSeconds: 5 });
        case "unknown":
            return createProblem("PLATFORM_UNAVAILABLE", failure.detail, { outcome: Outcome.Unknown });
    }
}

function answerProblem(ctx: OperatorContext, problem: Problem): Problem {
    ctx.meta.$statusCode = problem.status;
    ctx.meta.$responseType = "application/problem+json";
    return problem;
}
