import type { PlanState } from "./plan";
import { countFreeTokens, readPoolBudget } from "./poolBudget";
import { nameRack } from "./rack";
import type { FleetState, Instance } from "./state";

/**
 * Why a plan may not take this instance out of service now; `undefined` where it may.
 *
 * The availability budget is checked here, in the reducer, and not by whoever carries out the plan: two operators'
 * waves, and an executor that slept since it last looked, would otherwise each find room and together take out more
 * than the budget. Operators would see a pool short of instances. The log orders their steps, so that the second
 * meets the state that the first has left.
 */
export function findDrainRefusal(
    state: FleetState,
    plan: PlanState,
    instance: Instance,
    atMs: number,
): string | undefined {
    const item = plan.waiting[instance.name];
    const { window, maxInFlight } = plan.policy;
    if (plan.status.kind !== "running") {
        return `plan ${plan.id} is ${plan.status.kind}`;
    }
    if (window !== undefined && (atMs < window.startMs || atMs > window.endMs)) {
        return "outside the plan's window";
    }
    if (instance.state.kind !== "serving") {
        return `${instance.name} is ${instance.state.kind}`;
    }
    if (item?.kind === "move" && instance.pool !== item.from) {
        return `${instance.name} is in pool ${instance.pool}, not in ${item.from}`;
    }
    if (countFreeTokens(readPoolBudget(state, instance.pool)) < 1) {
        return `the availability budget of pool ${instance.pool} is spent`;
    }
    if (plan.active.length >= maxInFlight) {
        return `${plan.active.length} instances are out for this plan already`;
    }
    return item?.kind === "maintain" ? findWaveRefusal(state, plan, instance) : undefined;
}

/**
 * A wave takes one instance first, then others of its rack, and all once half of that rack is back.
 * A bad image or a bad rack is thereby met by few instances, and the wave stops before it reaches the others.
 */
function findWaveRefusal(state: FleetState, plan: PlanState, instance: Instance): string | undefined {
    const { counts, firstRack, active, waiting } = plan;
    if (firstRack === undefined) {
        return undefined;
    }
    if (counts.done === 0 && active.length > 0) {
        return "the wave's first instance is not back yet";
    }
    if (!plan.policy.startsWithRack || nameRack(instance) === firstRack) {
        return undefined;
    }
    const left = [...active, ...Object.keys(waiting)].filter((name) => {
        const other = state.instances[name];
        return other !== undefined && nameRack(other) === firstRack && other.state.kind !== "lost";
    });
    return left.length <= counts.done ? undefined : `half of the wave's first rack ${firstRack} is not back yet`;
}
