import type { Peers } from "../peers";
import { type Plan, type PlanClaim, planClaimSchema } from "../plans";

/** Plans that were made and not confirmed yet, by any connected entry. */
export interface PlanStore {
    add(plan: Plan): void;
    /** Plans made here. */
    own(): readonly Plan[];
    /** Looks here, then asks connected entries. */
    find(id: string): Promise<PlanClaim | undefined>;
}

/** Plans kept for confirmation; the oldest are forgotten first. */
const maxKeptPlans = 100;
const topic = "operators.plan";
const askTimeoutMs = 1500;

/**
 * Keeps made plans in memory. An operator's next request may reach another entry through the balancer, so that an
 * entry asks the others for a plan that it has not made.
 */
export function createPlanStore(peers: Peers): PlanStore {
    const plans = new Map<string, Plan>();

    peers.onRequest(topic, (_from, id) => Promise.resolve(plans.get(String(id))));

    async function ask(boot: string, id: string): Promise<PlanClaim | undefined> {
        const answer = await peers.request(boot, topic, id, askTimeoutMs);
        return planClaimSchema.safeParse(answer.orDefault(undefined)).data;
    }

    return {
        add(plan) {
            plans.set(plan.id, plan);
            [...plans.keys()].slice(0, -maxKeptPlans).forEach((id) => plans.delete(id));
        },
        own: () => [...plans.values()],
        async find(id) {
            const own = plans.get(id);
            if (own !== undefined) {
                return own;
            }
            const answers = await Promise.all(peers.connected().map(({ boot }) => ask(boot, id)));
            return answers.find((answer) => answer !== undefined);
        },
    };
}
