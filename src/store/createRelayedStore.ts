import type { Peers } from "../peers";
import type { Commit, Store } from "./store";

/** Topic of relayed calls on the links between entries. */
const relayTopic = "store";

/** How long a relayed call may take beyond what the call itself waits, in milliseconds. */
const relayTimeoutMs = 1000;

/**
 * While the direct way is given up, a read of its own tries it this often, in milliseconds. Tried by calls in use, each
 * would wait for its full time before it goes round: writes then took 1 to 3 s where a store turned an owner away.
 */
const probeMs = 1000;

/** Key that is read to try the direct way; it need not exist. */
const probeKey = "samphirepin/probe";

/** A call through a peer this recent shows that the store works for others, in milliseconds. */
const relayFreshMs = 1500;

/** Peers asked one after the other before a call is given up. */
const maxPeersAsked = 2;

/** A call as it travels to a peer. */
type RelayedCall =
    | { readonly call: "read"; readonly key: string; }
    | { readonly call: "range"; readonly prefix: string; }
    | { readonly call: "watch"; readonly prefix: string; readonly after: number; readonly waitMs: number; }
    | { readonly call: "commit"; readonly commit: Commit; }
    | { readonly call: "grantLease"; readonly ttlMs: number; }
    | { readonly call: "renewLease" | "endLease"; readonly lease: number; };

export interface RelayedStoreOptions {
    readonly direct: Store;
    readonly peers: Peers;
    readonly nowMs: () => number;
    /** The way that calls take has changed. */
    onPathChange?(path: "direct" | "relayed", detail: string): void;
}

export interface RelayedStore extends Store {
    /** The store answers others, and this entry only through them. */
    isTurnedAway(): boolean;
}

/**
 * The store, through another entry where it does not answer this one.
 *
 * A store may turn away single instances and serve all others. Without a way around, an owner that is turned away loses
 * its duties, and an entry cannot take submissions though the store works. A peer makes the call in its place; only
 * the first way is tried on the peer's side, so that calls do not wander.
 */
export function createRelayedStore(opts: RelayedStoreOptions): RelayedStore {
    const { direct, peers, nowMs } = opts;
    let isGivenUp = false;
    let relayedAtMs = Number.NEGATIVE_INFINITY;

    peers.onRequest(relayTopic, (_from, body) => isGivenUp ? refuse() : callStore(direct, body as RelayedCall));

    function refuse(): Promise<unknown> {
        return Promise.resolve({ kind: "unavailable", detail: "the store does not answer the peer either" });
    }

    function noteDirect(kind: string, detail: string): void {
        const isAnswered = kind !== "unavailable" && kind !== "unknown";
        if (isGivenUp === isAnswered) {
            isGivenUp = !isAnswered;
            opts.onPathChange?.(isAnswered ? "direct" : "relayed", detail);
            if (isGivenUp) {
                setTimeout(() => void probe(), probeMs);
            }
        }
    }

    async function tryDirect(): Promise<void> {
        const result = await direct.read(probeKey);
        noteDirect(result.kind, "");
    }

    async function probe(): Promise<void> {
        await tryDirect();
        if (isGivenUp) {
            setTimeout(() => void probe(), probeMs);
        }
    }

    /**
     * Through a peer the store answers again after a time in which it did not: an outage may be over. The probe that is under
     * way was swallowed by it and hangs for its full time; until then this entry would count as turned away, and an owner
     * leave its duty to nobody.
     */
    function noteRelayed(): void {
        const isFirst = nowMs() - relayedAtMs > relayFreshMs;
        relayedAtMs = nowMs();
        if (isFirst) {
            void tryDirect();
        }
    }

    /**
     * The store may cut any watch that waits, as when it drops its history. Taken for being turned away, each owner would
     * give its duty up at that moment, and all others with it; a short read tells the two apart.
     */
    async function checkAfterWatch(): Promise<void> {
        const { kind } = await direct.read(probeKey);
        noteDirect(kind, "a watch broke, and a read was not answered either");
    }

    async function callDirect<R extends { kind: string; detail?: string; }>(call: RelayedCall): Promise<R> {
        const result = await callStore(direct, call) as R;
        if (call.call === "watch" && result.kind === "unavailable") {
            await checkAfterWatch();
        }
        else {
            noteDirect(result.kind, result.detail ?? "");
        }
        return result;
    }

    async function callPeers<R extends { kind: string; }>(call: RelayedCall): Promise<R | undefined> {
        const timeoutMs = relayTimeoutMs + (call.call === "watch" ? call.waitMs : 0);
        const chosen = [...peers.connected()].sort((a, b) => rank(a.boot) - rank(b.boot)).slice(0, maxPeersAsked);
        let result: R | undefined;
        for (const peer of chosen) {
            const answer = await peers.request(peer.boot, relayTopic, call, timeoutMs);
            result = answer.caseOf<R>({
                Right: (given) => given as R,
                // A request that never left did nothing; a write that left may have been made.
                Left: ({ kind, detail }) =>
                    ({ kind: kind === "unknown" && isWrite(call) ? "unknown" : "unavailable", detail }) as
                        & R
                        & { detail: string; },
            });
            if (result.kind !== "unavailable") {
                noteRelayed();
                return result;
            }
        }
        return result;
    }

    /** Spreads the relayed calls of different entries over the peers. */
    function rank(boot: string): number {
        return [...`${peers.self.boot}${boot}`].reduce((sum, char) => (sum * 31 + char.charCodeAt(0)) % 65_521, 7);
    }

    async function callAny<R extends { kind: string; detail?: string; }>(call: RelayedCall): Promise<R> {
        if (!isGivenUp) {
            const result = await callDirect<R>(call);
            // An unknown write must not be sent a second way here: only its sender knows whether that is safe.
            if (result.kind !== "unavailable" || call.call === "watch" && !isGivenUp) {
                return result;
            }
            return await callPeers<R>(call) ?? result;
        }
        const relayed = await callPeers<R>(call);
        return relayed === undefined || relayed.kind === "unavailable" ? callDirect<R>(call) : relayed;
    }

    return {
        isTurnedAway: () => isGivenUp && nowMs() - relayedAtMs < relayFreshMs,
        read: (key) => callAny({ call: "read", key }),
        range: (prefix) => callAny({ call: "range", prefix }),
        watch: (prefix, after, waitMs) => callAny({ call: "watch", prefix, after, waitMs }),
        commit: (commit) => callAny({ call: "commit", commit }),
        grantLease: (ttlMs) => callAny({ call: "grantLease", ttlMs }),
        renewLease: (lease) => callAny({ call: "renewLease", lease }),
        endLease: (lease) => callAny({ call: "endLease", lease }),
    };
}

function isWrite(call: RelayedCall): boolean {
    return call.call === "commit";
}

function callStore(store: Store, call: RelayedCall): Promise<{ kind: string; detail?: string; }> {
    switch (call.call) {
        case "read":
            return store.read(call.key);
        case "range":
            return store.range(call.prefix);
        case "watch":
            return store.watch(call.prefix, call.after, call.waitMs);
        case "commit":
            return store.commit(call.commit);
        case "grantLease":
            return store.grantLease(call.ttlMs);
        case "renewLease":
            return store.renewLease(call.lease);
        case "endLease":
            return store.endLease(call.lease);
    }
}
