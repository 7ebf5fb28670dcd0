import type { Either } from "purify-ts";

/** One boot of an entry, that is, one run of its process. */
export interface Peer {
    /** Unique ID of this run, generated at start and never reused. */
    readonly boot: string;
    /** The instance's name in the platform's list. */
    readonly instance: string;
    readonly region: string;
    readonly zone: string;
    /** WebSocket address for links, such as `ws://127.0.0.1:7101`. */
    readonly peerUrl: string;
}

/**
 * Why a request to a peer has no answer.
 *
 * - `notSent`: the request was not sent, for example because there is no link; the peer will never receive it.
 * - `unknown`: the request was sent, but the link was closed, the peer reported a failure, or the timeout passed.
 */
export interface PeerFailure {
    readonly kind: "notSent" | "unknown";
    readonly detail: string;
}

/** Frames on the links of this entry and their bytes; headers of TCP and lower layers are not counted. */
export interface PeerTraffic {
    readonly sentBytes: number;
    readonly receivedBytes: number;
    readonly sentFrames: number;
    readonly links: number;
}

export interface Peers {
    readonly self: Peer;
    /** Peers with a link on which a frame was received within the last `silenceMs`, an option of `createPeers`. */
    connected(): readonly Peer[];
    /** Sends a message that has no answer; returns false if it could not be sent. */
    send(boot: string, topic: string, body: unknown): boolean;
    broadcast(topic: string, body: unknown): void;
    request(boot: string, topic: string, body: unknown, timeoutMs: number): Promise<Either<PeerFailure, unknown>>;
    onMessage(topic: string, handler: (from: Peer, body: unknown) => void): void;
    onRequest(topic: string, handler: (from: Peer, body: unknown) => Promise<unknown>): void;
    /** Sets the addresses of the entries to keep links to. */
    setAddresses(peerUrls: readonly string[]): void;
    /** Bytes and frames of all links since the start, and the number of open links; for metrics. */
    traffic?(): PeerTraffic;
    start(): Promise<void>;
    stop(): Promise<void>;
}
