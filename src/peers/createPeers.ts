import { Packr } from "msgpackr";
import { type Either, Left, Right } from "purify-ts";
import { type RawData, WebSocket, WebSocketServer } from "ws";
import { type Frame, frameSchema } from "./messages";
import type { Peer, PeerFailure, Peers } from "./peers";

export interface PeersOptions {
    readonly self: Peer;
    readonly host: string;
    readonly port: number;
    /** How often an idle link is used, in milliseconds. */
    readonly heartbeatMs: number;
    /** A peer not heard from for this long counts as silent, in milliseconds. */
    readonly silenceMs: number;
}

/** Largest frame taken from a link. */
const maxFrameBytes = 2 * 1024 * 1024;

interface Link {
    readonly socket: WebSocket;
    peer?: Peer;
    heardAtMs: number;
}

interface Waiting {
    readonly link: Link;
    settle(answer: Either<PeerFailure, unknown>): void;
}

/** Keeps one link to each known entry over WebSocket. */
export function createPeers(opts: PeersOptions): Peers {
    const packr = new Packr({ useRecords: false });
    const links = new Set<Link>();
    const messageHandlers = new Map<string, (from: Peer, body: unknown) => void>();
    const requestHandlers = new Map<string, (from: Peer, body: unknown) => Promise<unknown>>();
    const waiting = new Map<number, Waiting>();
    const dialing = new Set<string>();
    let addresses: readonly string[] = [];
    let nextId = 1;
    let server: WebSocketServer | undefined;
    let timer: NodeJS.Timeout | undefined;

    function write(link: Link, frame: Frame): boolean {
        if (link.socket.readyState !== WebSocket.OPEN) {
            return false;
        }
        link.socket.send(packr.pack(frame));
        return true;
    }

    function findLink(boot: string): Link | undefined {
        const now = Date.now();
        return [...links].find((link) => link.peer?.boot === boot && now - link.heardAtMs < opts.silenceMs);
    }

    function adoptSocket(socket: WebSocket): Link {
        const link: Link = { socket, heardAtMs: Date.now() };
        links.add(link);
        socket.on("message", (data) => receive(link, data));
        socket.on("error", () => socket.terminate());
        socket.on("close", () => drop(link));
        return link;
    }

    function drop(link: Link): void {
        links.delete(link);
        for (const [id, entry] of waiting) {
            if (entry.link === link) {
                waiting.delete(id);
                entry.settle(Left({ kind: "unknown", detail: "the link broke" }));
            }
        }
    }

    function receive(link: Link, data: RawData): void {
        const frame = parseFrame(packr, data);
        if (frame === undefined) {
            link.socket.terminate();
            return;
        }
        link.heardAtMs = Date.now();
        handle(link, frame);
    }

    function handle(link: Link, frame: Frame): void {
        switch (frame.kind) {
            case "hello":
                link.peer = frame.peer;
                return;
            case "heartbeat":
                return;
            case "message":
                if (link.peer !== undefined) {
                    messageHandlers.get(frame.topic)?.(link.peer, frame.body);
                }
                return;
            case "request":
                void answer(link, frame);
                return;
            case "answer":
                waiting.get(frame.id)?.settle(Right(frame.body));
                waiting.delete(frame.id);
                return;
        }
    }

    async function answer(link: Link, frame: Extract<Frame, { kind: "request"; }>): Promise<void> {
        const handler = requestHandlers.get(frame.topic);
        if (handler !== undefined && link.peer !== undefined) {
            const body = await handler(link.peer, frame.body);
            write(link, { kind: "answer", id: frame.id, body });
        }
    }

    function dial(url: string): void {
        dialing.add(url);
        const socket = new WebSocket(url, { handshakeTimeout: opts.silenceMs, maxPayload: maxFrameBytes });
        const link = adoptSocket(socket);
        socket.on("open", () => write(link, { kind: "hello", peer: opts.self }));
        socket.on("close", () => dialing.delete(url));
    }

    function tick(): void {
        const now = Date.now();
        for (const link of links) {
            if (now - link.heardAtMs > opts.silenceMs * 2) {
                link.socket.terminate();
            }
            write(link, { kind: "heartbeat" });
        }
        const reached = new Set([...links].map((link) => link.peer?.peerUrl));
        for (const url of addresses) {
            if (url !== opts.self.peerUrl && !dialing.has(url) && !reached.has(url)) {
                dial(url);
            }
        }
    }

    return {
        self: opts.self,
        connected() {
            const now = Date.now();
            const byBoot = new Map<string, Peer>();
            for (const link of links) {
                if (link.peer !== undefined && now - link.heardAtMs < opts.silenceMs) {
                    byBoot.set(link.peer.boot, link.peer);
                }
            }
            return [...byBoot.values()];
        },
        send(boot, topic, body) {
            const link = findLink(boot);
            return link !== undefined && write(link, { kind: "message", topic, body });
        },
        broadcast(topic, body) {
            for (const peer of this.connected()) {
                this.send(peer.boot, topic, body);
            }
        },
        request(boot, topic, body, timeoutMs) {
            const link = findLink(boot);
            const id = nextId++;
            if (link === undefined || !write(link, { kind: "request", id, topic, body })) {
                return Promise.resolve(Left({ kind: "notSent", detail: "there is no link" }));
            }
            return new Promise((resolve) => {
                const timeout = setTimeout(() => {
                    waiting.delete(id);
                    resolve(Left({ kind: "unknown", detail: "no answer in time" }));
                }, timeoutMs);
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
        async start() {
            const listening = new WebSocketServer({ host: opts.host, port: opts.port, maxPayload: maxFrameBytes });
            server = listening;
            listening.on("connection", (socket) => {
                const link = adoptSocket(socket);
                write(link, { kind: "hello", peer: opts.self });
            });
            await new Promise<void>((resolve, reject) => {
                listening.once("listening", resolve);
                listening.once("error", reject);
            });
            timer = setInterval(tick, opts.heartbeatMs);
            tick();
        },
        async stop() {
            clearInterval(timer);
            links.forEach((link) => link.socket.terminate());
            await new Promise((resolve) => server === undefined ? resolve(undefined) : server.close(resolve));
        },
    };
}

function parseFrame(packr: Packr, data: RawData): Frame | undefined {
    try {
        const bytes = Array.isArray(data) ? Buffer.concat(data) : Buffer.from(data as Buffer);
        const parsed = frameSchema.safeParse(packr.unpack(bytes));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
