import { readPoolBudget } from "../state";
import type { Handler, OperatorsOptions } from "./operatorContext";

/** Shows what is in force. */
export function createReadHandlers({ peers }: OperatorsOptions) {
    const state: Handler = (request) => Promise.resolve(request.state);

    const entries: Handler = () => Promise.resolve([peers.self, ...peers.connected()]);

    const pools: Handler = (request) =>
        Promise.resolve(
            Object.keys(request.state.pools).map((name) => ({ name, ...readPoolBudget(request.state, name) })),
        );

    const instances: Handler = (request) => Promise.resolve(Object.values(request.state.instances));

    /** Plans that reboot instances, with how far they are; the newest first. */
    const waves: Handler = (request) => {
        const isWave = (plan: string) =>
            Object.values(request.state.plans[plan]?.waiting ?? {}).some(({ kind }) => kind === "maintain")
            || request.state.plans[plan]?.firstRack !== undefined;
        const plans = Object.values(request.state.plans).filter(({ id }) => isWave(id));
        return Promise.resolve(
            plans.sort((a, b) => b.confirmedAtRevision - a.confirmedAtRevision).map((plan) => ({
                id: plan.id,
                by: plan.by,
                reason: plan.reason,
                status: plan.status,
                waiting: Object.keys(plan.waiting).length,
                active: plan.active,
                counts: plan.counts,
                firstRack: plan.firstRack,
                window: plan.policy.window,
            })),
        );
    };

    return { state, entries, pools, instances, waves };
}
