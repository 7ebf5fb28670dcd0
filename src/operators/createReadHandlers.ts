import { z } from "zod";
import { createProblem } from "../errors";
import { readPoolBudget } from "../state";
import type { Handler, OperatorsOptions } from "./operatorContext";

/** Longest wait for a revision to be in force everywhere, in milliseconds. */
const maxWaitMs = 60_000;

const revisionSchema = z.object({
    revision: z.coerce.number().int().nonnegative(),
    waitMs: z.coerce.number().int().min(0).max(maxWaitMs).default(0),
});

/** Shows what is in force. */
export function createReadHandlers({ configuration, peers, limits }: OperatorsOptions) {
    const state: Handler = (request) => Promise.resolve(request.state);

    const entries: Handler = () => Promise.resolve([peers.self, ...peers.connected()]);

    /** Which entries have confirmed a revision, and which have not; `waitMs` waits until all have. */
    const revision: Handler = async ({ params }) => {
        const asked = revisionSchema.safeParse(params);
        if (!asked.success) {
            return createProblem("INVALID_REQUEST", "revision and waitMs are whole numbers");
        }
        const inForce = await configuration.awaitInForce(asked.data.revision, asked.data.waitMs);
        return { ...inForce, ownRevision: configuration.state()?.revision, isolation: configuration.isolation() };
    };

    const pools: Handler = (request) =>
        Promise.resolve(
            Object.keys(request.state.pools).map((name) => ({ name, ...readPoolBudget(request.state, name) })),
        );

    const instances: Handler = (request) => Promise.resolve(Object.values(request.state.instances));

    /** Teams with the ids of their keys, which are no secret. */
    const teams: Handler = (request) =>
        Promise.resolve(
            Object.values(request.state.teams).map(({ keys, ...team }) => ({ ...team, keyIds: Object.keys(keys) })),
        );

    /** How each team's limit is divided over the entries, and whether the limit is in force. */
    const readLimits: Handler = async () =>
        (await limits.readDivisions())
            .mapLeft(({ detail }) => createProblem("PLATFORM_UNAVAILABLE", detail, { retryAfterSeconds: 5 }))
            .extract();

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

    return { state, entries, revision, pools, instances, teams, limits: readLimits, waves };
}
