import type { ServerResponse } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { WebSocket, WebSocketServer } from "ws";
import type { ConnectionLimits, Listener, Listeners } from "../listeners";
import type { Reporter } from "../logging";
import { createLink, type Link, maxFrameBytes, type Traffic } from "./createLink";
import type { Frame } from "./frameSchema";
import type { Peer, PeerFailure, Peers } from "./peers";

/** Certificate, its private key, and the CA certificate shared by all entries, in PEM format. */
export interface PeerCertificates {
    readonly cert: string;
    readonly key: string;
    readonly ca: string;
}

export interface PeersOptions {
    readonly self: Peer;
    readonly host: string;
    readonly port: number;
    /** Interval of heartbeats on an idle link, in milliseconds. */
    readonly heartbeatMs: number;
    /** A peer from which nothing was received for this long counts as silent, in milliseconds. */
    readonly silenceMs: number;
    /** With certificates, links use mutual TLS; without, they are plain text. */
    readonly certificates?: PeerCertificates;
    readonly report?: Reporter;
    readonly listeners: Listeners;
    readonly limits: Pick<ConnectionLimits, "maxLinks" | "maxLinkRequests">;
}

/** Most requests waiting for an answer. */
const maxPendingRequests = 10_000;

/**
 * Heartbeats after which this entry closes a link that it dialed and no longer wants; it may want the link again soon.
 */
const unwantedHeartbeats = 20;

/** How long links may take to close at a clean shutdown before they are terminated, in milliseconds. */
const closeTimeoutMs = 500;

const upgradeRequiredStatus = 426;

interface PendingRequest {
    readonly link: Link;
    settle(answer: Either<PeerFailure, unknown>): void;
}

/** Keeps one WebSocket link to each entry whose address is set. */
export function createPeers(opts: PeersOptions): Peers {
    const { self } = opts;
    const traffic: Traffic = { sentBytes: 0, receivedBytes: 0, sentFrames: 0 };
    const links = new Set<Link>();
    const messageHandlers = new Map<string, (from: Peer, body: unknown) => void>();
    const requestHandlers = new Map<string, (from: Peer, body: unknown) => Promise<unknown>>();
    const pendingRequests = new Map<number, PendingRequest>();
    const dialing = new Set<string>();
    const unreachedSinceMs = new Map<string, number>();
    /** Links that this entry dialed, with their addresses and the time since when they are unwanted. */
    const dialed = new Map<Link, { readonly url: string; unwantedSinceMs: number | undefined; }>();
    let addresses: readonly string[] = [];
    let nextId = 1;
    let server: WebSocketServer | undefined;
    let listener: Listener | undefined;
    let timer: NodeJS.Timeout | undefined;

    function isAlive(link: Link): boolean {
        return Date.now() - link.lastReceivedAtMs < opts.silenceMs;
    }

    function findLink(boot: string): Link | undefined {
        return [...links].find((link) => link.peer?.boot === boot && isAlive(link));
    }

    function registerSocket(socket: WebSocket): Link {
        const link = createLink(socket, traffic, opts.limits.maxLinkRequests);
        links.add(link);
        socket.on("message", (data) => {
            const frame = link.parse(data);
            if (frame === undefined) {
                reportNote("received an invalid frame", link);
                socket.terminate();
                return;
            }
            link.lastReceivedAtMs = Date.now();
            handleFrame(link, frame);
        });
        socket.on("error", () => socket.terminate());
        socket.on("close", () => removeLink(link));
        return link;
    }

    function reportNote(message: string, link: Link, detail = ""): void {
        const from = link.peer?.instance ?? "a peer that has not sent its hello frame";
        opts.report?.({ kind: "note", slice: "peers", message: `${message} from ${from}`, detail });
    }

    function removeLink(link: Link): void {
        links.delete(link);
        dialed.delete(link);
        for (const [id, pending] of pendingRequests) {
            if (pending.link === link) {
                settle(id, Left({ kind: "unknown", detail: "the link broke" }));
            }
        }
    }

    function settle(id: number, result: Either<PeerFailure, unknown>): void {
        const pending = pendingRequests.get(id);
        pendingRequests.delete(id);
        pending?.settle(result);
    }

    function handleFrame(link: Link, frame: Frame): void {
        switch (frame.kind) {
            case "hello":
                handleHello(link, frame.peer);
                return;
            case "heartbeat":
                return;
            case "message":
                handleMessage(link, frame.topic, frame.body);
                return;
            case "request":
                void handleRequest(link, frame);
                return;
            case "answer":
                settleFrom(link, frame.id, Right(frame.body));
                return;
            case "failure":
                settleFrom(link, frame.id, Left({ kind: "unknown", detail: frame.detail }));
                return;
        }
    }

    /** A peer must not change its boot on a link: requests that wait on the link were meant for the first one. */
    function handleHello(link: Link, peer: Peer): void {
        const isOther = link.peer !== undefined && link.peer.boot !== peer.boot;
        if (isOther || peer.boot === self.boot) {
            link.socket.terminate();
            return;
        }
        link.peer = peer;
    }

    /** Accepts an answer only from the link on which the request was sent. */
    function settleFrom(link: Link, id: number, result: Either<PeerFailure, unknown>): void {
        if (pendingRequests.get(id)?.link === link) {
            settle(id, result);
        }
    }

    /** An error in one module's handler must not end the process or the link. */
    function handleMessage(link: Link, topic: string, body: unknown): void {
        if (link.peer === undefined) {
            return;
        }
        try {
            messageHandlers.get(topic)?.(link.peer, body);
        }
        catch (error) {
            reportNote(`the handler of topic ${topic} failed on a message`, link, String(error));
        }
    }

    async function handleRequest(link: Link, { id, topic, body }: Extract<Frame, { kind: "request"; }>): Promise<void> {
        const handler = requestHandlers.get(topic);
        if (handler === undefined || link.peer === undefined) {
            link.write({ kind: "failure", id, detail: `there is no handler of ${topic.slice(0, 64)}` });
            return;
        }
        if (link.openRequests >= opts.limits.maxLinkRequests) {
            link.write({ kind: "failure", id, detail: "too many requests of this link are open" });
            return;
        }
        link.openRequests++;
        try {
            const given = await handler(link.peer, body);
            link.write({ kind: "answer", id, body: given });
        }
        catch (error) {
            reportNote(`the handler of topic ${topic} failed on a request`, link, String(error));
            link.write({ kind: "failure", id, detail: "the handler failed" });
        }
        finally {
            link.openRequests--;
        }
    }

    function dial(url: string): void {
        dialing.add(url);
        const socket = new WebSocket(url, {
            handshakeTimeout: opts.silenceMs,
            maxPayload: maxFrameBytes,
            ...opts.certificates ?? {},
        });
        const link = registerSocket(socket);
        dialed.set(link, { url, unwantedSinceMs: undefined });
        socket.on("open", () => link.write({ kind: "hello", peer: self }));
        socket.on("close", () => dialing.delete(url));
    }

    function tick(): void {
        const nowMs = Date.now();
        for (const link of links) {
            const isHelloOverdue = link.peer === undefined && nowMs - link.openedAtMs > opts.silenceMs;
            if (isHelloOverdue || nowMs - link.lastReceivedAtMs > opts.silenceMs * 2) {
                link.socket.terminate();
            }
            if (nowMs - link.lastSentAtMs >= opts.heartbeatMs / 2) {
                link.write({ kind: "heartbeat" });
            }
        }
        closeUnwanted(nowMs);
        dialMissing(nowMs);
    }

    /** Closes unwanted links. A peer that still wants the link dials a new one. */
    function closeUnwanted(nowMs: number): void {
        for (const [link, dialedLink] of dialed) {
            dialedLink.unwantedSinceMs = addresses.includes(dialedLink.url)
                ? undefined
                : dialedLink.unwantedSinceMs ?? nowMs;
            if (
                dialedLink.unwantedSinceMs !== undefined
                && nowMs - dialedLink.unwantedSinceMs > unwantedHeartbeats * opts.heartbeatMs
            ) {
                link.socket.close(1000);
            }
        }
    }

    /**
     * Dials wanted addresses without a link. Of two entries, the one with the lower address dials, so that they do not
     * end up with two links. The other one dials after a delay: the first one may not know its address yet, or may be
     * unable to connect in its direction.
     */
    function dialMissing(nowMs: number): void {
        const reached = new Set([...links].map((link) => link.peer?.peerUrl));
        for (const url of addresses) {
            if (url === self.peerUrl || dialing.has(url) || reached.has(url)) {
                unreachedSinceMs.delete(url);
                continue;
            }
            const sinceMs = unreachedSinceMs.get(url) ?? nowMs;
            unreachedSinceMs.set(url, sinceMs);
            if (self.peerUrl < url || nowMs - sinceMs >= opts.silenceMs / 2) {
                dial(url);
            }
        }
        [...unreachedSinceMs.keys()].filter((url) => !addresses.includes(url)).forEach((url) =>
            unreachedSinceMs.delete(url)
        );
    }

    function accept(socket: WebSocket): void {
        registerSocket(socket).write({ kind: "hello", peer: self });
    }

    async function listen(): Promise<void> {
        const { certificates, host, port, listeners, limits } = opts;
        const upgrading = new WebSocketServer({ noServer: true, maxPayload: maxFrameBytes });
        const listening = listeners.create({
            name: "peers",
            maxConnections: limits.maxLinks,
            maxBodyBytes: 0,
            ...certificates === undefined
                ? {}
                : { tls: { ...certificates, requestCert: true, rejectUnauthorized: true } },
            onRequest: (_request, response) => closeWith(response, upgradeRequiredStatus),
            onUpgrade: (request, socket, head) => upgrading.handleUpgrade(request, socket, head, accept),
            writeRefusal: (response, { status }) => closeWith(response, status),
        });
        server = upgrading;
        listener = listening;
        await new Promise<void>((resolve, reject) => {
            listening.on("error", reject);
            listening.listen(port, host, () => {
                listening.off("error", reject);
                resolve();
            });
        });
        listening.on("error", (error) => opts.report?.({ kind: "note", slice: "peers", message: String(error) }));
    }

    return {
        self,
        connected() {
            const identified = [...links].filter((link) => link.peer !== undefined && isAlive(link));
            return [...new Map(identified.map(({ peer }) => [peer?.boot, peer as Peer])).values()];
        },
        send: (boot, topic, body) => findLink(boot)?.write({ kind: "message", topic, body }) ?? false,
        broadcast(topic, body) {
            for (const peer of this.connected()) {
                this.send(peer.boot, topic, body);
            }
        },
        request(boot, topic, body, timeoutMs) {
            const link = findLink(boot);
            const id = nextId++;
            const isFull = pendingRequests.size >= maxPendingRequests;
            if (link === undefined || isFull || !link.write({ kind: "request", id, topic, body })) {
                const detail = isFull ? "too many requests wait for answers" : "there is no link";
                return Promise.resolve(Left({ kind: "notSent", detail }));
            }
            return new Promise((resolve) => {
                const timeout = setTimeout(
                    () => settle(id, Left({ kind: "unknown", detail: "no answer in time" })),
                    timeoutMs,
                );
                pendingRequests.set(id, {
                    link,
                    settle(result) {
                        clearTimeout(timeout);
                        resolve(result);
                    },
                });
            });
        },
        onMessage(topic, handler) {
            messageHandlers.set(topic, handler);
        },
        onRequest(topic, handler) {
            requestHandlers.set(topic, handler);
        },
        setAddresses(peerUrls) {
            addresses = peerUrls;
        },
        traffic: () => ({ ...traffic, links: links.size }),
        async start() {
            await listen();
            timer = setInterval(tick, opts.heartbeatMs);
            tick();
        },
        async stop() {
            clearInterval(timer);
            links.forEach((link) => link.socket.close(1001));
            const closing = setTimeout(() => links.forEach((link) => link.socket.terminate()), closeTimeoutMs);
            await new Promise((resolve) => server === undefined ? resolve(undefined) : server.close(resolve));
            await new Promise((resolve) => listener === undefined ? resolve(undefined) : listener.close(resolve));
            clearTimeout(closing);
            links.forEach((link) => link.socket.terminate());
        },
    };
}

function closeWith(response: ServerResponse, status: number): void {
    response.writeHead(status, { connection: "close" });
    response.end();
}
