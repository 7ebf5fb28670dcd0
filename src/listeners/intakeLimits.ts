/** Limits on what clients can make the process hold. */
export interface IntakeLimits {
    /** Longest request line and header fields, in bytes. */
    readonly maxHeadBytes: number;
    /** Requests of one connection that may be open at once; further ones are not read. */
    readonly maxPipelinedRequests: number;
    /** How long a connection without a request is kept, in milliseconds. */
    readonly maxIdleMs: number;
}

export const defaultIntakeLimits: IntakeLimits = {
    maxHeadBytes: 16 * 1024,
    maxPipelinedRequests: 8,
    maxIdleMs: 15_000,
};
