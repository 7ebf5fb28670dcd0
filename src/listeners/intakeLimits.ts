import { getHeapStatistics } from "node:v8";

/** Limits on what clients can make the process hold; all listeners of the process share them. */
export interface IntakeLimits {
    /** Longest request line and header fields, in bytes. */
    readonly maxHeadBytes: number;
    /** Requests of one connection that may be open at once; further ones are not read. */
    readonly maxPipelinedRequests: number;
    /** Most that the process holds for all clients, by estimate, in bytes. */
    readonly maxHeldBytes: number;
    /** Time in which the head of a request must arrive completely, in milliseconds. */
    readonly maxHeadMs: number;
    /** Time in which the body of a request must arrive completely, in milliseconds. */
    readonly maxBodyMs: number;
    /** How long a connection is kept whose client reads nothing of an answer, in milliseconds. */
    readonly maxUnreadMs: number;
    /** How long a connection without a request is kept, in milliseconds. */
    readonly maxIdleMs: number;
}

/** Part of the heap that may be held for clients. */
const heldShareOfHeap = 1 / 4;

export const defaultIntakeLimits: IntakeLimits = {
    maxHeadBytes: 16 * 1024,
    maxPipelinedRequests: 8,
    maxHeldBytes: Math.floor(getHeapStatistics().heap_size_limit * heldShareOfHeap),
    maxHeadMs: 10_000,
    maxBodyMs: 10_000,
    maxUnreadMs: 10_000,
    maxIdleMs: 15_000,
};

/** Connections that each kind of listener may have open at once. */
export interface ConnectionLimits {
    /** Connections of clients, and of callers and operators. */
    readonly maxConnections: number;
    /** Connections of the load balancer's probes and of readers of metrics, each. */
    readonly maxProbeConnections: number;
    /** Links that other entries have opened. */
    readonly maxLinks: number;
    /** Requests of one link that may be open at once, and frames that may wait for its peer to read them. */
    readonly maxLinkRequests: number;
}

/** Most connections of one kind, however many descriptors there are. */
const mostConnections = 1024;

const probeConnections = 64;

export const defaultMaxLinkRequests = 1024;

/** Descriptors that files and pipes may take. */
const fileDescriptors = 200;

/** Part of the other descriptors for clients, and for links; the rest is for calls to the store and to workers. */
const connectionShare = 1 / 5;

/** Derives the limits from the number of descriptors that the process may open. */
export function deriveConnectionLimits(maxDescriptors: number): ConnectionLimits {
    const shared = Math.floor((maxDescriptors - fileDescriptors) * connectionShare);
    const connections = Math.max(1, Math.min(mostConnections, shared));
    return {
        maxConnections: connections,
        maxProbeConnections: Math.min(probeConnections, connections),
        maxLinks: connections,
        maxLinkRequests: defaultMaxLinkRequests,
    };
}
