import {
    countFreeTokens,
    findDrainRefusal,
    type FleetState,
    type PlanState,
    readPoolBudget,
    type Step,
} from "../state";

/** Most drains that one entry begins in one command. */
const maxDrainsPerCommand = 64;

/**
 * Chooses what a running plan may begin now, in its order.
 * This only saves steps that would be refused: the reducer checks each again against the state that it meets.
 */
export function chooseDrains(state: FleetState, plan: PlanState, atMs: number): Step[] {
    const steps: Step[] = [];
    const tokens = new Map<string, number>();
    const isFirst = plan.counts.done === 0 && hasMaintenance(plan);
    const most = Math.min(maxDrainsPerCommand, isFirst ? 1 : plan.policy.maxInFlight - plan.active.length);
    for (const [name, item] of Object.entries(plan.waiting)) {
        if (steps.length >= most) {
            break;
        }
        const instance = state.instances[name];
        if (instance === undefined || item.kind === "move" && instance.pool !== item.from) {
            const detail = instance === undefined ? "it has left the fleet" : `it is in pool ${instance.pool} now`;
            steps.push({ kind: "skip", plan: plan.id, instance: name, detail });
            continue;
        }
        const free = tokens.get(instance.pool) ?? countFreeTokens(readPoolBudget(state, instance.pool));
        tokens.set(instance.pool, free);
        if (free > 0 && findDrainRefusal(state, plan, instance, atMs) === undefined) {
            tokens.set(instance.pool, free - 1);
            const { assignmentNumber } = instance;
            steps.push({ kind: "beginDrain", plan: plan.id, instance: name, assignmentNumber });
        }
    }
    return steps;
}

function hasMaintenance(plan: PlanState): boolean {
    return Object.values(plan.waiting).some(({ kind }) => kind === "maintain");
}
