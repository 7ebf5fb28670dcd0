import type { Policy, QueueConfig, Tenant } from "./policy";

/** Finds the queue of a request: among the queues of this host, the one with the longest matching path prefix. */
export function findQueue(policy: Policy, host: string, path: string): QueueConfig | undefined {
    const hostName = host.replace(/:\d+$/, "").toLowerCase();
    return policy.queues
        .filter((queue) => queue.host.toLowerCase() === hostName && path.startsWith(queue.pathPrefix))
        .reduce<QueueConfig | undefined>(
            (best, queue) => best === undefined || queue.pathPrefix.length > best.pathPrefix.length ? queue : best,
            undefined,
        );
}

/** Finds the client account that an API key belongs to. */
export function findTenant(policy: Policy, key: string): Tenant | undefined {
    return policy.tenants.find((tenant) => tenant.keys.includes(key));
}
