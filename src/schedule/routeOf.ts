import type { Policy, Route } from "../policy";
import type { Submission } from "../submissions";

/** Attempts of a task whose queue is no longer configured. */
const removedRouteAttempts = 2;

/** Stretch and latency target of a queue that is no longer configured: its submissions have no claim to go first. */
const removedRouteStretch = 1;

/**
 * The queue of a submission. One that operators have removed since still owes its accepted submissions their end: they
 * run in the pool that it had when they came.
 */
export function routeOf(policy: Policy, { route, service, tenant }: Submission): Route {
    return policy.routes.find(({ name }) => name === route) ?? {
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
