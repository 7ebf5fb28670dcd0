import { z } from "zod";
import { pause } from "../clock";
import type { Peer, Peers } from "../peers";
import type { History, MergeResult } from "./createHistory";
import { type LogPart, logPartSchema } from "./logValue";
import { decodeSnapshot, encodeSnapshot } from "./snapshot";

export interface PeerSyncOptions {
    readonly peers: Peers;
    readonly history: History;
    /** Interval of announcements, in milliseconds. */
    readonly digestIntervalMs: number;
    /** Called after records or a snapshot from a peer were merged, and when a digest shows a divergence. */
    readonly onMerge: (from: Peer, offer: MergeResult) => void;
    /** Called after each report of a peer's revision. */
    readonly onReport: () => void;
}

/** The revision that a peer last reported, and when, by this entry's clock. */
export interface PeerReport {
    readonly revision: number;
    readonly atMs: number;
}

/** Anti-entropy: each entry announces its revision to its peers, and an entry that is behind fetches from them. */
export interface PeerSync {
    /** Announces this entry's revision to every peer. */
    announce(): void;
    /** Last reports of the peers, by boot. */
    lastReports(): ReadonlyMap<string, PeerReport>;
    /** Requests a peer's revision now. */
    query(boot: string, timeoutMs: number): Promise<void>;
    start(): void;
    stop(): void;
}

const topics = {
    digest: "configuration/digest",
    fetch: "configuration/fetch",
    ask: "configuration/ask",
} as const;

const fetchTimeoutMs = 3000;

/** Delay before a fetch, as the platform's watch usually brings the same records in this time. */
const watchHeadStartMs = 150;

/** Limit of stored reports; the oldest are dropped first. */
const maxReports = 1024;

const digestSchema = z.object({ revision: z.number().int().nonnegative(), hash: z.string().max(64) });
const fetchedSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("records"), part: logPartSchema }),
    z.object({ kind: z.literal("snapshot"), text: z.string() }),
    z.object({ kind: z.literal("nothing") }),
]);

export function createPeerSync(opts: PeerSyncOptions): PeerSync {
    const { peers, history } = opts;
    const lastReports = new Map<string, PeerReport>();
    let timer: NodeJS.Timeout | undefined;
    let isFetching = false;

    function digest() {
        return { revision: history.revision(), hash: history.applied()?.hash ?? "" };
    }

    function handleDigest(from: Peer, body: unknown): void {
        const reported = digestSchema.safeParse(body).data;
        if (reported === undefined) {
            return;
        }
        lastReports.delete(from.boot);
        lastReports.set(from.boot, { revision: reported.revision, atMs: Date.now() });
        [...lastReports.keys()].slice(0, -maxReports).forEach((boot) => lastReports.delete(boot));
        const ownHash = history.hashAt(reported.revision);
        if (ownHash !== undefined && history.applied() !== undefined && ownHash !== reported.hash) {
            opts.onMerge(from, { kind: "diverged", revision: reported.revision });
        }
        else if (reported.revision > history.revision()) {
            void fetchFrom(from, reported.revision);
        }
        opts.onReport();
    }

    /**
     * Fetches what this entry lacks, one fetch at a time: a hundred peers that are all ahead would otherwise all send
     * the same records. It waits first, as the platform's watch brings these records to all entries that can reach it.
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
        const answer = await peers.request(from.boot, topics.fetch, digest(), fetchTimeoutMs);
        isFetching = false;
        answer.ifRight((body) => {
            const fetched = fetchedSchema.safeParse(body).data;
            switch (fetched?.kind) {
                case "records":
                    opts.onMerge(from, history.mergeRecords(fetched.part as LogPart));
                    return;
                case "snapshot": {
                    const snapshot = decodeSnapshot(fetched.text);
                    if (snapshot !== undefined) {
                        opts.onMerge(from, history.mergeSnapshot(snapshot));
                    }
                    return;
                }
                case "nothing":
                case undefined:
                    return;
            }
        });
    }

    function handleFetch(body: unknown) {
        const known = digestSchema.safeParse(body).data;
        const applied = history.applied();
        if (known === undefined || applied === undefined || known.revision >= history.revision()) {
            return { kind: "nothing" };
        }
        const part = history.recordsAfter(known.revision);
        return part === undefined
            ? { kind: "snapshot", text: encodeSnapshot(applied) }
            : { kind: "records", part };
    }

    peers.onMessage(topics.digest, handleDigest);
    peers.onRequest(topics.fetch, (_from, body) => Promise.resolve(handleFetch(body)));
    peers.onRequest(topics.ask, () => Promise.resolve(digest()));

    return {
        announce: () => peers.broadcast(topics.digest, digest()),
        lastReports: () => lastReports,
        async query(boot, timeoutMs) {
            const peer = peers.connected().find((each) => each.boot === boot);
            const answer = await peers.request(boot, topics.ask, {}, timeoutMs);
            answer.ifRight((body) => peer !== undefined && handleDigest(peer, body));
        },
        start() {
            timer = setInterval(() => peers.broadcast(topics.digest, digest()), opts.digestIntervalMs);
        },
        stop() {
            clearInterval(timer);
        },
    };
}
