import type { FailedReadAttempt } from "../logging";
import type { Peer, Peers } from "../peers";
import { firstAnswer } from "./firstAnswer";
import { rankRelays } from "./rankRelays";
import type { Commit, ReadResult, Store, WatchResult } from "./store";

/** Peer message topic of relayed store calls. */
const relayTopic = "store";

/** Timeout of a relayed call, in milliseconds; a watch adds its own wait to it. */
const relayTimeoutMs = 1000;

/**
 * Interval of the reads that probe the direct path while it is down, in milliseconds. Probing with regular calls would
 * make each of them time out before it is relayed: writes took 1 to 3 s when the store refused a leader.
 */
const probeMs = 1000;

/** Key that is read to probe the direct path; it need not exist. */
const probeKey = "samphirepin/probe";

/** Timeout of a call that is relayed through several peers at once, in milliseconds. A slow store takes about 300. */
const parallelRelayTimeoutMs = 400;

/** A relayed call that succeeded within this time shows that the store serves other entries, in milliseconds. */
const relayFreshMs = 1500;

/** Peers that are tried in turn before a call fails. */
const maxPeersAsked = 2;

/** A store call as it is sent to a peer. */
type RelayedCall =
    | { readonly call: "read"; readonly key: string; }
    | { readonly call: "range"; readonly prefix: string; }
    | { readonly call: "watch"; readonly prefix: string; readonly after: number; readonly waitMs: number; }
    | { readonly call: "commit"; readonly commit: Commit; }
    | { readonly call: "grantLease"; readonly ttlMs: number; }
    | { readonly call: "renewLease" | "endLease"; readonly lease: number; };

interface CallResult {
    readonly kind: string;
    readonly detail?: string;
    readonly isUnanswered?: boolean;
}

export interface RelayedStoreOptions {
    readonly direct: Store;
    readonly peers: Peers;
    readonly nowMs: () => number;
    /** Reads a key to check the direct path, over a new connection: an open one may be silent. */
    checkDirect?(key: string): Promise<ReadResult>;
    /** True if the store has answered a direct call that was sent later than this time on the clock `nowMs`. */
    hasAnsweredSince?(sentAtMs: number): boolean;
    /** Called when calls switch between the direct path and relaying through a peer. */
    onPathChange?(path: "direct" | "relayed", detail: string): void;
    /** Called for each attempt to watch or list keys that has failed. */
    onReadFailed?(attempt: FailedReadAttempt): void;
}

export interface RelayedStore extends Store {
    /** True if the store does not answer this entry directly, but answered it through a peer within `relayFreshMs`. */
    isRelayOnly(): boolean;
    /** When a peer last relayed a call that the store answered, on the clock `nowMs`; negative infinity if never. */
    relayedAtMs(): number;
    /** Watches without a wait through all peers that would relay calls at once, and gives the first answer. */
    readonly peers: Pick<Store, "watch">;
    /** Reads a key through the peers that would relay calls; resolves to true if one of them has an answer in time. */
    probePeers(timeoutMs: number): Promise<boolean>;
}

/**
 * Creates a store client that relays calls through a peer while the store does not answer this entry directly.
 *
 * The store may refuse single instances and serve all others. Without relaying, a refused leader loses its leadership
 * and a refused entry cannot accept submissions, though the store works. The peer makes the call directly and never
 * relays it further, so that calls do not travel from peer to peer.
 */
export function createRelayedStore(opts: RelayedStoreOptions): RelayedStore {
    const { direct, peers, nowMs } = opts;
    const checkDirect = opts.checkDirect ?? direct.read;
    let isDirectDown = false;
    let relayedAtMs = Number.NEGATIVE_INFINITY;
    let relayAnsweredAtMs = Number.NEGATIVE_INFINITY;
    /** When each peer last failed to relay a call; without those that have relayed one since. */
    const relayFailedAtMs = new Map<string, number>();

    peers.onRequest(relayTopic, (_from, body) => isDirectDown ? refuse() : callStore(direct, body as RelayedCall));

    function refuse(): Promise<unknown> {
        return Promise.resolve({ kind: "unavailable", detail: "the store does not answer the peer either" });
    }

    function recordDirectResult(kind: string, detail: string): void {
        const isAnswered = kind !== "unavailable" && kind !== "unknown";
        if (isDirectDown === isAnswered) {
            isDirectDown = !isAnswered;
            opts.onPathChange?.(isAnswered ? "direct" : "relayed", detail);
            if (isDirectDown) {
                setTimeout(() => void probe(), probeMs).unref();
            }
        }
    }

    async function probeDirect(): Promise<void> {
        const result = await checkDirect(probeKey);
        recordDirectResult(result.kind, "");
    }

    async function probe(): Promise<void> {
        await probeDirect();
        if (isDirectDown) {
            setTimeout(() => void probe(), probeMs).unref();
        }
    }

    /**
     * Probes the direct path at the first relayed success after a gap, as a store outage may have ended. A probe sent
     * during the outage hangs until its timeout. Until then this entry would count as relay-only, and a leader would
     * resign and leave no leader.
     */
    function recordRelayedAnswer(): void {
        const isFirst = nowMs() - relayedAtMs > relayFreshMs;
        relayedAtMs = nowMs();
        if (isFirst) {
            void probeDirect();
        }
    }

    /**
     * Tells a closed watch from a store that does not answer, by a short read. The store may close any pending watch,
     * for example when it compacts its history. If that counted as a refusal, all leaders would resign at once.
     */
    async function checkAfterWatch(): Promise<void> {
        const { kind } = await checkDirect(probeKey);
        recordDirectResult(kind, "a watch failed, and a read after it was not answered either");
    }

    /** Reports a failed watch or list: where a view of the store falls behind, these show which path has held it up. */
    function reportFailedRead(
        call: RelayedCall,
        { kind, detail = "" }: CallResult,
        sentAtMs: number,
        peer?: Peer,
    ): void {
        if (kind !== "unavailable" || (call.call !== "watch" && call.call !== "range")) {
            return;
        }
        opts.onReadFailed?.({
            call: call.call,
            prefix: call.prefix,
            path: peer === undefined ? "direct" : "relayed",
            peer: peer?.instance ?? "",
            tookMs: Math.round(nowMs() - sentAtMs),
            detail,
        });
    }

    async function callDirect<R extends CallResult>(call: RelayedCall): Promise<R> {
        const sentAtMs = nowMs();
        const result = await callStore(direct, call) as R;
        reportFailedRead(call, result, sentAtMs);
        if (call.call === "watch" && result.kind === "unavailable") {
            await checkAfterWatch();
        }
        // A later call that was answered shows that this one's connection was silent, and not the store.
        else if (result.isUnanswered !== true || opts.hasAnsweredSince?.(sentAtMs) !== true) {
            recordDirectResult(result.kind, result.detail ?? "");
        }
        return result;
    }

    async function callPeer<R extends CallResult>(peer: Peer, call: RelayedCall, timeoutMs: number): Promise<R> {
        const sentAtMs = nowMs();
        const answer = await peers.request(peer.boot, relayTopic, call, timeoutMs);
        const noResult = (isSent: boolean, detail: string) =>
            // A request that was not sent has no effect; a write that was sent may have been made.
            ({ kind: isSent && isWrite(call) ? "unknown" : "unavailable", detail }) as R & { detail: string; };
        const result = answer.caseOf<R>({
            // An entry of another version may answer something else.
            Right: (given) => isCallResult(given) ? given as R : noResult(true, "the peer's answer holds no result"),
            Left: ({ kind, detail }) => noResult(kind === "unknown", detail),
        });
        reportFailedRead(call, result, sentAtMs, peer);
        recordRelay(peer, result.kind);
        if (result.kind !== "unavailable") {
            relayAnsweredAtMs = result.kind === "unknown" ? relayAnsweredAtMs : nowMs();
            recordRelayedAnswer();
        }
        return result;
    }

    async function callPeers<R extends CallResult>(call: RelayedCall): Promise<R | undefined> {
        const timeoutMs = relayTimeoutMs + (call.call === "watch" ? call.waitMs : 0);
        let result: R | undefined;
        for (const peer of chooseRelays()) {
            result = await callPeer<R>(peer, call, timeoutMs);
            if (result.kind !== "unavailable") {
                return result;
            }
        }
        return result;
    }

    function watchThroughPeers(prefix: string, after: number): Promise<WatchResult> {
        const call: RelayedCall = { call: "watch", prefix, after, waitMs: 0 };
        return firstAnswer(chooseRelays().map((peer) => callPeer<WatchResult>(peer, call, parallelRelayTimeoutMs)));
    }

    function recordRelay({ boot }: Peer, kind: string | undefined): void {
        if (kind === undefined || kind === "unavailable" || kind === "unknown") {
            relayFailedAtMs.set(boot, nowMs());
        }
        else {
            relayFailedAtMs.delete(boot);
        }
    }

    function chooseRelays(): readonly Peer[] {
        const connected = peers.connected();
        const boots = new Set(connected.map(({ boot }) => boot));
        [...relayFailedAtMs.keys()].filter((boot) => !boots.has(boot)).forEach((boot) => relayFailedAtMs.delete(boot));
        return rankRelays(peers.self.boot, connected, relayFailedAtMs).slice(0, maxPeersAsked);
    }

    async function probePeer(peer: Peer, timeoutMs: number): Promise<boolean> {
        const call: RelayedCall = { call: "read", key: probeKey };
        const answer = await peers.request(peer.boot, relayTopic, call, timeoutMs);
        const kind = answer.map((given) => (given as ReadResult | undefined)?.kind).orDefault(undefined);
        recordRelay(peer, kind);
        return kind === "found" || kind === "missing";
    }

    async function callAny<R extends CallResult>(call: RelayedCall): Promise<R> {
        if (!isDirectDown) {
            const result = await callDirect<R>(call);
            // A write with an unknown result is not retried through a peer: only the caller knows whether a retry is
            // safe.
            if (result.kind !== "unavailable" || call.call === "watch" && !isDirectDown) {
                return result;
            }
            return await callPeers<R>(call) ?? result;
        }
        const relayed = await callPeers<R>(call);
        return relayed === undefined || relayed.kind === "unavailable" ? callDirect<R>(call) : relayed;
    }

    return {
        isRelayOnly: () => isDirectDown && nowMs() - relayedAtMs < relayFreshMs,
        relayedAtMs: () => relayAnsweredAtMs,
        peers: { watch: watchThroughPeers },
        async probePeers(timeoutMs) {
            const answers = await Promise.all(chooseRelays().map((peer) => probePeer(peer, timeoutMs)));
            return answers.includes(true);
        },
        read: (key) => callAny({ call: "read", key }),
        range: (prefix) => callAny({ call: "range", prefix }),
        watch: (prefix, after, waitMs) => callAny({ call: "watch", prefix, after, waitMs }),
        commit: (commit) => callAny({ call: "commit", commit }),
        grantLease: (ttlMs) => callAny({ call: "grantLease", ttlMs }),
        renewLease: (lease) => callAny({ call: "renewLease", lease }),
        endLease: (lease) => callAny({ call: "endLease", lease }),
    };
}

function isCallResult(given: unknown): given is CallResult {
    return typeof given === "object" && !!given && "kind" in given && typeof given.kind === "string";
}

function isWrite(call: RelayedCall): boolean {
    return call.call === "commit";
}

function callStore(store: Store, call: RelayedCall): Promise<CallResult> {
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
