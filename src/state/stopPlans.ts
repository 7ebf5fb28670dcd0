import type { PlanState } from "./plan";
import { addHistory, setPlan } from "./planHistory";
import { readPoolBudget } from "./poolBudget";
import type { CommandRecord, FleetState, Instance } from "./state";

type Context = Pick<CommandRecord, "by" | "atMs">;

/**
 * Counts a failure of a plan's own work; at its bound the plan stops by itself.
 * Before anything has come back well, the first failure is the bound.
 */
export function countFailure(plan: PlanState, detail: string, { by, atMs }: Context): PlanState {
    const recentFailures = plan.recentFailures + 1;
    const counts = { ...plan.counts, failed: plan.counts.failed + 1 };
    const failed = addHistory({ ...plan, recentFailures, counts }, { atMs, by, what: "failure", reason: detail });
    const isBound = recentFailures >= (plan.counts.done === 0 ? 1 : plan.policy.stopAfterFailures);
    return isBound ? stop(failed, `${recentFailures} failures, the last: ${detail}`, { by, atMs }) : failed;
}

/**
 * Tells running plans that an instance was lost.
 * One that a plan brought back lately counts as the plan's failure; and a plan stops that has an instance of the same
 * pool out while losses have taken the pool past its budget.
 */
export function noteLoss(state: FleetState, lost: Instance, detail: string, context: Context): FleetState {
    let next = state;
    for (const plan of Object.values(state.plans)) {
        if (plan.status.kind === "running") {
            const noted = noteLossInPlan(next, plan, lost, detail, context);
            next = noted === plan ? next : setPlan(next, noted);
        }
    }
    return next;
}

function noteLossInPlan(
    state: FleetState,
    plan: PlanState,
    lost: Instance,
    detail: string,
    context: Context,
): PlanState {
    const returnedAtMs = plan.returned[lost.name];
    if (returnedAtMs !== undefined && context.atMs - returnedAtMs <= plan.policy.soakMs) {
        return countFailure(plan, `${lost.name} was lost after it came back: ${detail}`, context);
    }
    const { unavailable, maxUnavailable } = readPoolBudget(state, lost.pool);
    const isPoolOut = plan.active.some((name) => state.instances[name]?.pool === lost.pool);
    return isPoolOut && unavailable > maxUnavailable
        ? stop(plan, `losses have taken pool ${lost.pool} past its availability budget`, context)
        : plan;
}

function stop(plan: PlanState, reason: string, { by, atMs }: Context): PlanState {
    if (plan.status.kind !== "running") {
        return plan;
    }
    const stopped = { ...plan, status: { kind: "stopped", reason, atMs }, lastStepAtMs: atMs } as const;
    return addHistory(stopped, { atMs, by, what: "stopped", reason });
}
