import type { ServiceSchema } from "moleculer";
import { timingSafeEqual } from "node:crypto";
import { createProblem, type Problem } from "../errors";
import { authenticateOperator, hashSecret } from "../keys";
import { createEmptyState, type FleetState } from "../state";
import { createKeyHandlers } from "./createKeyHandlers";
import { createPlanHandlers } from "./createPlanHandlers";
import { createReadHandlers } from "./createReadHandlers";
import { type Handler, isProblem, type OperatorContext, type OperatorsOptions } from "./operatorContext";

/** Names the moleculer service whose actions the gateway calls for operators. */
export function createOperators(opts: OperatorsOptions): ServiceSchema {
    const plans = createPlanHandlers(opts);
    const keys = createKeyHandlers(opts);
    const reads = createReadHandlers(opts);

    function guard(handler: Handler) {
        return async (ctx: OperatorContext) => {
            const state = opts.configuration.state() ?? createEmptyState();
            const operator = findOperator(state, ctx.meta.secret ?? "");
            const answer = operator === undefined
                ? createProblem("OPERATOR_REJECTED", "the operator credential is not accepted")
                : await handler({ operator, state, params: ctx.params });
            return isProblem(answer) ? answerProblem(ctx, answer) : answer;
        };
    }

    function findOperator(state: FleetState, credential: string): string | undefined {
        const isFirst = opts.operatorHash !== undefined
            && timingSafeEqual(Buffer.from(opts.operatorHash, "hex"), Buffer.from(hashSecret(credential), "hex"));
        return isFirst ? "first-operator" : authenticateOperator(state, credential);
    }

    return {
        name: "operators",
        actions: {
            plan: guard(plans.make),
            plans: guard(plans.list),
            showPlan: guard(plans.show),
            confirm: guard(plans.confirm),
            pause: guard(plans.pause),
            resume: guard(plans.resume),
            cancel: guard(plans.cancel),
            grantKey: guard(keys.grant),
            withdrawKey: guard(keys.withdraw),
            state: guard(reads.state),
            entries: guard(reads.entries),
            revision: guard(reads.revision),
            pools: guard(reads.pools),
            instances: guard(reads.instances),
            teams: guard(reads.teams),
            limits: guard(reads.limits),
            waves: guard(reads.waves),
        },
    };
}

function answerProblem(ctx: OperatorContext, problem: Problem): Problem {
    ctx.meta.$statusCode = problem.status;
    ctx.meta.$responseType = "application/problem+json";
    return problem;
}
