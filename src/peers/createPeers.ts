import { createServer, type Server } from "node:https";
import { type Either, Left, Right } from "purify-ts";
import { WebSocket, WebSocketServer } from "ws";
import type { Reporter } from "../logging";
import { createLink, type Link, maxFrameBytes, type Traffic } from "./createLink";
import type { Frame } from "./messages";
import type { Peer, PeerFailure, Peers } from "./peers";

/** Certificate, its key and the authority of all entries, as PEM texts. */
export interface PeerCertificates {
    readonly cert: string;
    readonly key: string;
    readonly ca: string;
}

export interface PeersOptions {
    readonly self: Peer;
    readonly host: string;
    readonly port: number;
    /** How often an idle link is used, in milliseconds. */
    readonly heartbeatMs: number;
    /** A peer not heard from for this long counts as silent, in milliseconds. */
    readonly silenceMs: number;
    /** With certificates, both ends prove themselves; without, links are plain. */
    readonly certificates?: PeerCertificates;
    readonly report?: Reporter;
}

/** Links kept at once; further ones are refused. */
const maxLinks = 1024;

/** Requests that may wait for an answer at once. */
const maxWaiting = 10_000;

/** A link that this entry made and wants no more is closed after this many heartbeats: it may be wanted again soon. */
const unwantedHeartbeats = 20;

/** How long a link may take to close by itself at a planned stop, in milliseconds. */
const closeMs = 500;

interface Waiting {
    readonly link: Link;
    settle(answer: Either<PeerFailure, unknown>): void;
}

/** Keeps one link to each known entry over WebSocket. */
export function createPeers(opts: PeersOptions): Peers {
    const { self } = opts;
    const traffic: Traffic = { sentBytes: 0, receivedBytes: 0, sentFrames: 0 };
    const links = new Set<Link>();
    const messageHandlers = new Map<string, (from: Peer, body: unknown) => void>();
    const requestHandlers = new Map<string, (from: Peer, body: unknown) => Promise<unknown>>();
    const waiting = new Map<number, Waiting>();
    const dialing = new Set<string>();
    const unreachedSince = new Map<string, number>();
    /** Addresses of the links that this entry made, and since when it does not want them. */
    const dialed = new Map<Link, { readonly url: string; unwantedSinceMs: number | undefined; }>();
    let addresses: readonly string[] = [];
    let nextId = 1;
    let server: WebSocketServer | undefined;
    let secureServer: Server | undefined;
    let timer: NodeJS.Timeout | undefined;

    function isHeard(link: Link): boolean {
        return Date.now() - link.heardAtMs < opts.silenceMs;
    }

    function findLink(boot: string): Link | undefined {
        return [...links].find((link) => link.peer?.boot === boot && isHeard(link));
    }

    function adoptSocket(socket: WebSocket): Link {
        const link = createLink(socket, traffic);
        links.add(link);
        socket.on("message", (data) => {
            const frame = link.parse(data);
            if (frame === undefined) {
                note("a frame that cannot be read", link);
                socket.terminate();
                return;
            }
            link.heardAtMs = Date.now();
            handle(link, frame);
        });
        socket.on("error", () => socket.terminate());
        socket.on("close", () => drop(link));
        return link;
    }

    function note(message: string, link: Link, detail = ""): void {
        const from = link.peer?.instance ?? "an entry that has not said its name";
        opts.report?.({ kind: "note", slice: "peers", message: `${message} from ${from}`, detail });
    }

    function drop(link: Link): void {
        links.delete(link);
        dialed.delete(link);
        for (const [id, entry] of waiting) {
            if (entry.link === link) {
                settle(id, Left({ kind: "unknown", detail: "the link broke" }));
            }
        }
    }

    function settle(id: number, result: Either<PeerFailure, unknown>): void {
        const entry = waiting.get(id);
        waiting.delete(id);
        entry?.settle(result);
    }

    function handle(link: Link, frame: Frame): void {
        switch (frame.kind) {
            case "hello":
                greet(link, frame.peer);
                return;
            case "heartbeat":
                return;
            case "message":
                deliver(link, frame.topic, frame.body);
                return;
            case "request":
                void answer(link, frame);
                return;
            case "answer":
                settleFrom(link, frame.id, Right(frame.body));
                return;
            case "failure":
                settleFrom(link, frame.id, Left({ kind: "unknown", detail: frame.detail }));
                return;
        }
    }

    /** A link keeps the name it first gave: requests that wait on it were meant for that boot. */
    function greet(link: Link, peer: Peer): void {
        const isOther = link.peer !== undefined && link.peer.boot !== peer.boot;
        if (isOther || peer.boot === self.boot) {
            link.socket.terminate();
            return;
        }
        link.peer = peer;
    }

    /** Only the entry that was asked may answer. */
    function settleFrom(link: Link, id: number, result: Either<PeerFailure, unknown>): void {
        if (waiting.get(id)?.link === link) {
            settle(id, result);
        }
    }

    /** A fault in one slice's handler must not end the process or the link. */
    function deliver(link: Link, topic: string, body: unknown): void {
        if (link.peer === undefined) {
            return;
        }
        try {
            messageHandlers.get(topic)?.(link.peer, body);
        }
        catch (error) {
            note(`the handler of ${topic} failed on a message`, link, String(error));
        }
    }

    async function answer(link: Link, { id, topic, body }: Extract<Frame, { kind: "request"; }>): Promise<void> {
        const handler = requestHandlers.get(topic);
        if (handler === undefined || link.peer === undefined) {
            link.write({ kind: "failure", id, detail: `there is no handler of ${topic.slice(0, 64)}` });
            return;
        }
        try {
            const given = await handler(link.peer, body);
            link.write({ kind: "answer", id, body: given });
        }
        catch (error) {
            note(`the handler of ${topic} failed on a request`, link, String(error));
            link.write({ kind: "failure", id, detail: "the handler failed" });
        }
    }

    function dial(url: string): void {
        dialing.add(url);
        const socket = new WebSocket(url, {
            handshakeTimeout: opts.silenceMs,
            maxPayload: maxFrameBytes,
            ...opts.certificates ?? {},
        });
        const link = adoptSocket(socket);
        dialed.set(link, { url, unwantedSinceMs: undefined });
        socket.on("open", () => link.write({ kind: "hello", peer: self }));
        socket.on("close", () => dialing.delete(url));
    }

    function tick(): void {
        const now = Date.now();
        for (const link of links) {
            const isNameless = link.peer === undefined && now - link.openedAtMs > opts.silenceMs;
            if (isNameless || now - link.heardAtMs > opts.silenceMs * 2) {
                link.socket.terminate();
            }
            if (now - link.sentAtMs >= opts.heartbeatMs / 2) {
                link.write({ kind: "heartbeat" });
            }
        }
        closeUnwanted(now);
        dialUnreached(now);
    }

    /** If the other end wants the link still, it makes one of its own. */
    function closeUnwanted(now: number): void {
        for (const [link, made] of dialed) {
            made.unwantedSinceMs = addresses.includes(made.url) ? undefined : made.unwantedSinceMs ?? now;
            if (
                made.unwantedSinceMs !== undefined && now - made.unwantedSinceMs > unwantedHeartbeats * opts.heartbeatMs
            ) {
                link.socket.close(1000);
            }
        }
    }

    /**
     * Of two entries, the one with the lower address dials, so that they do not end with two links. The other dials
     * too after a while: the first may not know of it yet, or may not get through in its direction.
     */
    function dialUnreached(now: number): void {
        const reached = new Set([...links].map((link) => link.peer?.peerUrl));
        for (const url of addresses) {
            if (url === self.peerUrl || dialing.has(url) || reached.has(url)) {
                unreachedSince.delete(url);
                continue;
            }
            const since = unreachedSince.get(url) ?? now;
            unreachedSince.set(url, since);
            if (self.peerUrl < url || now - since >= opts.silenceMs / 2) {
                dial(url);
            }
        }
        [...unreachedSince.keys()].filter((url) => !addresses.includes(url)).forEach((url) =>
            unreachedSince.delete(url)
        );
    }

    function accept(socket: WebSocket): void {
        if (links.size >= maxLinks) {
            socket.terminate();
            return;
        }
        adoptSocket(socket).write({ kind: "hello", peer: self });
    }

    async function listen(): Promise<void> {
        const { certificates, host, port } = opts;
        secureServer = certificates === undefined
            ? undefined
            : createServer({ ...certificates, requestCert: true, rejectUnauthorized: true });
        const where = secureServer === undefined ? { host, port } : { server: secureServer };
        const listening = new WebSocketServer({ ...where, maxPayload: maxFrameBytes });
        server = listening;
        listening.on("connection", accept);
        await new Promise<void>((resolve, reject) => {
            listening.once("listening", resolve);
            listening.once("error", reject);
            secureServer?.listen(port, host);
        });
        listening.on("error", (error) => opts.report?.({ kind: "note", slice: "peers", message: String(error) }));
    }

    return {
        self,
        connected() {
            const named = [...links].filter((link) => link.peer !== undefined && isHeard(link));
            return [...new Map(named.map(({ peer }) => [peer?.boot, peer as Peer])).values()];
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
            const isFull = waiting.size >= maxWaiting;
            if (link === undefined || isFull || !link.write({ kind: "request", id, topic, body })) {
                const detail = isFull ? "too many requests wait for answers" : "there is no link";
                return Promise.resolve(Left({ kind: "notSent", detail }));
            }
            return new Promise((resolve) => {
                const timeout = setTimeout(
                    () => settle(id, Left({ kind: "unknown", detail: "no answer in time" })),
                    timeoutMs,
                );
                waiting.set(id, {
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
            const closing = setTimeout(() => links.forEach((link) => link.socket.terminate()), closeMs);
            await new Promise((resolve) => server === undefined ? resolve(undefined) : server.close(resolve));
            await new Promise((resolve) =>
                secureServer === undefined ? resolve(undefined) : secureServer.close(resolve)
            );
            clearTimeout(closing);
            links.forEach((link) => link.socket.terminate());
        },
    };
}
