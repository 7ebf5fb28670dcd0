import type { Either } from "purify-ts";

/** One run of one entry process. */
export interface Peer {
    /** Made at start; never used again. */
    readonly boot: string;
    /** The instance's name in the platform's list. */
    readonly instance: string;
    readonly region: string;
    readonly zone: string;
    /** Address for links, such as `ws://127.0.0.1:7101`. */
    readonly peerUrl: string;
}

/**
 * Why a request to a peer has no answer.
 *
 * - `notSent`: there was no link; the peer will never see the request.
 * - `unknown`: it was sent, and the link broke or the time ran out.
 */
export interface PeerFailure {
    readonly kind: "notSent" | "unknown";
    readonly detail: string;
}

/** Frames on the links of this entry; headers of TCP and below are not counted. */
export interface PeerTraffic {
    readonly sentBytes: number;
    readonly receivedBytes: number;
    readonly sentFrames: number;
    readonly links: number;
}

export interface Peers {
    readonly self: Peer;
    /** Peers heard from lately over a link. */
    connected(): readonly Peer[];
    /** Sends without an answer; gives false where there is no link. */
    send(boot: string, topic: string, body: unknown): boolean;
    broadcast(topic: string, body: unknown): void;
    request(boot: string, topic: string, body: unknown, timeoutMs: number): Promise<Either<PeerFailure, unknown>>;
    onMessage(topic: string, handler: (from: Peer, body: unknown) => void): void;
    onRequest(topic: string, handler: (from: Peer, body: unknown) => Promise<unknown>): void;
    /** Tells where other entries may be reached; links are made and kept. */
    setAddresses(peerUrls: readonly string[]): void;
    /** Bytes and frames of all links since the start, and how many links there are; for metrics. */
    traffic?(): PeerTraffic;
    start(): Promise<void>;
    stop(): Promise<void>;
}
