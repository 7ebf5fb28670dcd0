import type { Plan, PlanClaim } from "./plan";

/** How a plan made now differs from the one that an operator has read. */
export interface PlanDifference {
    /** What the old plan depends on and has changed, such as `members stalls`. */
    readonly changed: readonly string[];
    readonly stepsGone: readonly string[];
    readonly stepsNew: readonly string[];
}

/** Compares the plan that an operator has read with the one made now for the same intent. */
export function compareWithPlan(claim: PlanClaim, now: Plan): PlanDifference {
    const names = [...new Set([...Object.keys(claim.touches), ...Object.keys(now.touches)])];
    return {
        changed: names.filter((name) => claim.touches[name] !== now.touches[name]),
        stepsGone: claim.steps.filter((step) => !now.steps.includes(step)),
        stepsNew: now.steps.filter((step) => !claim.steps.includes(step)),
    };
}
