import { z } from "zod";
import type { AppendFailure } from "../configuration";
import { createProblem, type Problem } from "../errors";
import { compareWithPlan, createPlan, intentSchema, type Plan, type PlanClaim, planClaimSchema } from "../plans";
import { createEmptyState, type FleetState, isConfirmed } from "../state";
import { createPlanStore } from "./createPlanStore";
import type { Handler, OperatorRequest, OperatorsOptions } from "./operatorContext";
import { toFieldProblem, toProblem } from "./toProblem";

const confirmSchema = z.object({ id: z.string(), plan: planClaimSchema.optional() });
const steerSchema = z.object({ id: z.string(), reason: z.string().max(500).default("") });

/** Makes, shows, confirms and steers plans. */
export function createPlanHandlers({ configuration, peers }: OperatorsOptions) {
    const store = createPlanStore(peers);

    const make: Handler = ({ state, params }) => {
        const parsed = intentSchema.safeParse(params);
        if (!parsed.success) {
            return Promise.resolve(toFieldProblem("intent", parsed.error));
        }
        const plan = createPlan(state, parsed.data);
        store.add(plan);
        return Promise.resolve(plan);
    };

    const list: Handler = ({ state }) => {
        const confirmed = Object.values(state.plans).map(({ waiting, history: _history, ...plan }) => ({
            ...plan,
            waiting: Object.keys(waiting).length,
        }));
        const made = store.own().filter(({ id }) => !isConfirmed(state, id)).map(({ id, reason, madeAtRevision }) => ({
            id,
            reason,
            madeAtRevision,
            status: { kind: "unconfirmed" },
        }));
        return Promise.resolve([...confirmed, ...made]);
    };

    const show: Handler = async ({ state, params }) => {
        const id = String(params["id"]);
        const ended = state.endedPlans[id];
        if (state.plans[id] !== undefined) {
            return state.plans[id];
        }
        if (ended !== undefined) {
            return { id, status: { kind: "finished" }, confirmedAtRevision: ended };
        }
        const made = await store.find(id);
        return made === undefined ? notFound(id) : { ...made, status: { kind: "unconfirmed" } };
    };

    const confirm: Handler = async (request) => {
        const parsed = confirmSchema.safeParse(request.params);
        if (!parsed.success) {
            return toFieldProblem("confirmation", parsed.error);
        }
        const { id, plan } = parsed.data;
        if (isConfirmed(request.state, id)) {
            return answerConfirmed(id, request.state, true);
        }
        if (plan !== undefined && plan.id !== id) {
            return createProblem("INVALID_REQUEST", "the body carries another plan", {
                fields: [{ field: "plan.id", message: `is ${plan.id}, the path names ${id}` }],
            });
        }
        const claim = plan ?? await store.find(id);
        return claim === undefined ? notFound(id) : confirmClaim(claim, request);
    };

    /** The plan is made again from its intent: whatever a body says, only what the intent asks for can be done. */
    async function confirmClaim(claim: PlanClaim, { operator, state }: OperatorRequest): Promise<unknown> {
        const plan = createPlan(state, claim.intent, claim.madeAtRevision);
        if (plan.id !== claim.id) {
            return describeMoved(claim, plan);
        }
        if (plan.refusals.length > 0) {
            const fields = plan.refusals.map((message) => ({ field: "intent", message }));
            return createProblem("INTENT_REFUSED", plan.refusals.join("; "), { fields });
        }
        const { id, madeAtRevision, reason, touches, changes, work, afterwards, policy } = plan;
        const content = { id, madeAtRevision, reason, touches, changes, work, afterwards, policy };
        const command = { kind: "confirmPlan", plan: content } as const;
        const appended = await configuration.append({ by: operator, reason, command });
        return appended.caseOf<unknown>({
            Left: (failure) => explainRefusal(failure, claim),
            Right: (revision) => ({ id, revision, wasConfirmedBefore: false }),
        });
    }

    /** Another operator may have been first: with this plan, or with a change to what it touches. */
    function explainRefusal(failure: AppendFailure, claim: PlanClaim): unknown {
        const now = configuration.state() ?? createEmptyState();
        if (isConfirmed(now, claim.id)) {
            return answerConfirmed(claim.id, now, true);
        }
        const remade = createPlan(now, claim.intent, claim.madeAtRevision);
        return failure.kind === "rejected" && remade.id !== claim.id
            ? describeMoved(claim, remade)
            : toProblem(failure);
    }

    function steer(kind: "pausePlan" | "resumePlan" | "cancelPlan"): Handler {
        return async ({ operator, params }) => {
            const parsed = steerSchema.safeParse(params);
            if (!parsed.success) {
                return toFieldProblem("request", parsed.error);
            }
            const { id, reason } = parsed.data;
            const appended = await configuration.append({ by: operator, reason, command: { kind, plan: id } });
            return appended.caseOf<unknown>({ Left: toProblem, Right: (revision) => ({ id, revision }) });
        };
    }

    return {
        make,
        list,
        show,
        confirm,
        pause: steer("pausePlan"),
        resume: steer("resumePlan"),
        cancel: steer("cancelPlan"),
    };
}

function answerConfirmed(id: string, state: FleetState, wasConfirmedBefore: boolean) {
    const revision = state.plans[id]?.confirmedAtRevision ?? state.endedPlans[id];
    return { id, revision, wasConfirmedBefore };
}

function describeMoved(claim: PlanClaim, now: Plan): Problem {
    const { changed, stepsGone, stepsNew } = compareWithPlan(claim, now);
    const fields = [
        ...changed.map((field) => ({ field, message: "changed since the plan was made" })),
        ...stepsGone.map((step) => ({ field: "steps", message: `no longer: ${step}` })),
        ...stepsNew.map((step) => ({ field: "steps", message: `now: ${step}` })),
    ];
    const detail = `what the plan touches has changed since revision ${claim.madeAtRevision}: ${changed.join(", ")}`;
    return createProblem("REVISION_MOVED", detail, { fields });
}

function notFound(id: string): Problem {
    return createProblem("NOT_FOUND", `no plan ${id} is known here; make it again, or send it in the body as "plan"`);
}
