import type { Policy, Route, Tenant } from "./policy";

/** The route with the longest matching prefix of the host. */
export function findRoute(policy: Policy, host: string, path: string): Route | undefined {
    const name = host.replace(/:\d+$/, "").toLowerCase();
    return policy.routes
        .filter((route) => route.host.toLowerCase() === name && path.startsWith(route.pathPrefix))
        .reduce<Route | undefined>(
            (best, route) => best === undefined || route.pathPrefix.length > best.pathPrefix.length ? route : best,
            undefined,
        );
}

/** The client account that a key belongs to. */
export function findTenant(policy: Policy, key: string): Tenant | undefined {
    return policy.tenants.find((tenant) => tenant.keys.includes(key));
}
