import type { Policy, Route } from "../policy";
import type { Submission } from "../submissions";

/** Attempts of a task whose queue is no longer configured. */
const removedRouteAttempts = 2;

/** Stretch and latency target of a queue that is no longer configured: its submissions have no claim to go first. */
const removedRouteStretch = 1;

/** Queues by name, for each configuration; one of a few thousand queues is looked up for each waiting submission. */
const routesByName = new WeakMap<Policy, ReadonlyMap<string, Route>>();

function indexRoutes(policy: Policy): ReadonlyMap<string, Route> {
    const index = routesByName.get(policy) ?? new Map(policy.routes.map((route) => [route.name, route]));
    routesByName.set(policy, index);
    return index;
}

/**
 * The queue of a submission. One that operators have removed since still owes its accepted submissions their end: they
 * run in the pool that it had when they came.
 */
export function routeOf(policy: Policy, { route, service, tenant }: Submission): Route {
    return indexRoutes(policy).get(route) ?? {
        name: route,
        host: "",
        pathPrefix: "",
        service,
        isPublic: tenant === undefined,
        priority: Number.MAX_SAFE_INTEGER,
        maxAttempts: removedRouteAttempts,
        stretch: removedRouteStretch,
        targetLatencyMs: 0,
        timeoutMs: 0,
        advice: undefined,
    };
}
