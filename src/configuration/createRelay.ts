import { z } from "zod";
import { pause } from "../clock";
import type { Peer, Peers } from "../peers";
import type { History, Offer } from "./createHistory";
import { type LogPart, logPartSchema } from "./logValue";
import { decodeSnapshot, encodeSnapshot } from "./snapshot";

export interface RelayOptions {
    readonly peers: Peers;
    readonly history: History;
    readonly digestMs: number;
    /** Called after an offer from a peer; the revision may have gone forward. */
    readonly onOffer: (from: Peer, offer: Offer) => void;
    /** Called when a peer has told its revision. */
    readonly onHeard: () => void;
}

/** What a peer last told of itself. */
export interface Heard {
    readonly revision: number;
    readonly atMs: number;
}

/** Entries tell each other what they have applied; whoever lacks something asks for it. */
export interface Relay {
    /** Tells every peer this entry's revision. */
    tell(): void;
    heard(): ReadonlyMap<string, Heard>;
    /** Asks a peer for its revision now. */
    ask(boot: string, timeoutMs: number): Promise<void>;
    start(): void;
    stop(): void;
}

const topics = {
    digest: "configuration/digest",
    fetch: "configuration/fetch",
    ask: "configuration/ask",
} as const;

const fetchMs = 3000;

const watchHeadStartMs = 150;

/** Peers remembered; those heard longest ago are forgotten first. */
const maxHeard = 1024;

const digestSchema = z.object({ revision: z.number().int().nonnegative(), hash: z.string().max(64) });
const fetchedSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("records"), part: logPartSchema }),
    z.object({ kind: z.literal("snapshot"), text: z.string() }),
    z.object({ kind: z.literal("nothing") }),
]);

export function createRelay(opts: RelayOptions): Relay {
    const { peers, history } = opts;
    const heard = new Map<string, Heard>();
    let timer: NodeJS.Timeout | undefined;
    let isFetching = false;

    function digest() {
        return { revision: history.revision(), hash: history.applied()?.hash ?? "" };
    }

    function hear(from: Peer, body: unknown): void {
        const told = digestSchema.safeParse(body).data;
        if (told === undefined) {
            return;
        }
        heard.delete(from.boot);
        heard.set(from.boot, { revision: told.revision, atMs: Date.now() });
        [...heard.keys()].slice(0, -maxHeard).forEach((boot) => heard.delete(boot));
        const ours = history.hashAt(told.revision);
        if (ours !== undefined && history.applied() !== undefined && ours !== told.hash) {
            opts.onOffer(from, { kind: "diverged", revision: told.revision });
        }
        else if (told.revision > history.revision()) {
            void fetchFrom(from, told.revision);
        }
        opts.onHeard();
    }

    /**
     * One fetch at a time: a hundred peers that all know more would otherwise all send it. The platform's watch is
     * given a moment first, as it brings the same records to all entries that can reach it.
     */
    async function fetchFrom(from: Peer, revision: number): Promise<void> {
        if (isFetching) {
            return;
        }
        isFetching = true;
        await pause(watchHeadStartMs);
        if (history.revision() >= revision) {
            isFetching = false;
            return;
        }
        const answer = await peers.request(from.boot, topics.fetch, digest(), fetchMs);
        isFetching = false;
        answer.ifRight((body) => {
            const fetched = fetchedSchema.safeParse(body).data;
            switch (fetched?.kind) {
                case "records":
                    opts.onOffer(from, history.offerRecords(fetched.part as LogPart));
                    return;
                case "snapshot": {
                    const snapshot = decodeSnapshot(fetched.text);
                    if (snapshot !== undefined) {
                        opts.onOffer(from, history.offerSnapshot(snapshot));
                    }
                    return;
                }
                case "nothing":
                case undefined:
                    return;
            }
        });
    }

    function serve(body: unknown) {
        const asked = digestSchema.safeParse(body).data;
        const applied = history.applied();
        if (asked === undefined || applied === undefined || asked.revision >= history.revision()) {
            return { kind: "nothing" };
        }
        const part = history.after(asked.revision);
        return part === undefined
            ? { kind: "snapshot", text: encodeSnapshot(applied) }
            : { kind: "records", part };
    }

    peers.onMessage(topics.digest, hear);
    peers.onRequest(topics.fetch, (_from, body) => Promise.resolve(serve(body)));
    peers.onRequest(topics.ask, () => Promise.resolve(digest()));

    return {
        tell: () => peers.broadcast(topics.digest, digest()),
        heard: () => heard,
        async ask(boot, timeoutMs) {
            const peer = peers.connected().find((each) => each.boot === boot);
            const answer = await peers.request(boot, topics.ask, {}, timeoutMs);
            answer.ifRight((body) => peer !== undefined && hear(peer, body));
        },
        start() {
            timer = setInterval(() => peers.broadcast(topics.digest, digest()), opts.digestMs);
        },
        stop() {
            clearInterval(timer);
        },
    };
}
