import type { IntakeLimits } from "./intakeLimits";

/**
 * What a connection waits for.
 *
 * - `idle`: for a request.
 * - `head`, `body`: for the rest of a request.
 * - `busy`: for this process.
 * - `unread`: for its client to read an answer.
 * - `upgraded`: for nothing; the protocol on it has its own time limits.
 */
export type ConnectionPhase = "idle" | "head" | "body" | "busy" | "unread" | "upgraded";

/** What the process holds for a connection, and what the connection waits for. */
export interface ConnectionLoad {
    /** Bytes that are freed without harm to an open request when the connection is closed. */
    readonly droppableBytes: number;
    /** Estimated bytes of its complete requests, which are being carried out. */
    readonly requestBytes: number;
    readonly phase: ConnectionPhase;
    /** Changes whenever the time in the phase begins anew. */
    readonly progress: number;
}

/** Why a connection was closed or a request refused by a limit of the listeners. */
export const IntakeLimit = {
    HeadTime: "headTime",
    BodyTime: "bodyTime",
    UnreadTime: "unreadTime",
    IdleTime: "idleTime",
    HeldBytes: "heldBytes",
    Connections: "connections",
    BodyBytes: "bodyBytes",
} as const;
export type IntakeLimit = typeof IntakeLimit[keyof typeof IntakeLimit];

/** Objects of a request that is being carried out, in bytes. */
const requestObjectBytes = 16 * 1024;

/** Bytes that the objects of a parsed body take for each of its bytes, for a body of many small values. */
const parsedBytesPerByte = 24;

/** Estimated memory of a complete request. */
export function estimateRequestBytes(receivedBytes: number): number {
    return requestObjectBytes + receivedBytes * parsedBytesPerByte;
}

/** Time limit of a phase, and the limit that a connection meets beyond it; `undefined` if the phase has none. */
export function findPhaseLimit(
    phase: ConnectionPhase,
    limits: IntakeLimits,
): { readonly maxMs: number; readonly limit: IntakeLimit; } | undefined {
    switch (phase) {
        case "idle":
            return { maxMs: limits.maxIdleMs, limit: IntakeLimit.IdleTime };
        case "head":
            return { maxMs: limits.maxHeadMs, limit: IntakeLimit.HeadTime };
        case "body":
            return { maxMs: limits.maxBodyMs, limit: IntakeLimit.BodyTime };
        case "unread":
            return { maxMs: limits.maxUnreadMs, limit: IntakeLimit.UnreadTime };
        case "busy":
        case "upgraded":
            return undefined;
    }
}
