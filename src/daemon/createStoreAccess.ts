import { createJsonCaller, createStore } from "../../platform";
import { callOverdueMs } from "../connections";
import type { Reporter } from "../logging";
import type { Peers } from "../peers";
import { maxConcurrentCommits } from "../progress";
import {
    createHedgedStore,
    createRelayedStore,
    createStoreHealth,
    type Store,
    type StoreHealth,
    storeProbeTimeoutMs,
} from "../store";

export interface StoreAccessOptions {
    /** Address and port of the platform's store. */
    readonly address: string;
    readonly peers: Peers;
    /** Clock that also counts time during which this process was suspended, in milliseconds. */
    readonly nowMs: () => number;
    readonly report: Reporter;
    /** Called when the store answers neither directly nor through a peer. */
    onLost(): void;
}

/** Every path of an entry to the platform's store. */
export interface StoreAccess {
    readonly store: Store;
    readonly health: StoreHealth;
    /** Whether calls are answered through peers only. */
    isRelayOnly(): boolean;
    /** Ends all connections. */
    close(): Promise<void>;
}

/**
 * Connections to the store, opened as they are needed: for long-polling watches, batched writes, lease renewals and reads
 * for clients, and for the commits of a leader, so that renewals do not wait behind commits while the store is slow.
 */
const storeConnections = 16 + maxConcurrentCommits;

/**
 * Connections for probes of the store, and for watches that are repeated because their first connection is silent. Some
 * overlap while the store does not answer.
 */
const probeConnections = 16;

/** Key that is read to probe the store; it need not exist. */
const probeKey = "samphirepin/probe";

/** Wires the connections to the store, relaying through peers, repeated watches, and the detection of a loss. */
export function createStoreAccess({ address, peers, nowMs, report, onLost }: StoreAccessOptions): StoreAccess {
    // Pooled connections can all fall silent at once. A probe on one of them would show nothing about the store.
    const callProbed = createJsonCaller(probeConnections, { opensEach: true });
    const callPooled = createJsonCaller(storeConnections);
    const probeStore = createStore(callProbed, address, storeProbeTimeoutMs);
    const unpooledStore = createStore(callProbed, address);
    const health = createStoreHealth({
        probe: () => probeStore.read(probeKey),
        probePeers: (timeoutMs) => relayed.probePeers(timeoutMs),
        relayedAtMs: () => relayed.relayedAtMs(),
        nowMs,
        onLost(detail) {
            report({ kind: "dependency", name: "store calls", state: "lost", detail });
            onLost();
        },
        onSilentConnection(overdueMs, laterCallMs) {
            callPooled.renew(callOverdueMs);
            report({ kind: "connectionsRenewed", target: "store", overdueMs, laterCallMs });
        },
        onRecovered: (lostMs) =>
            report({
                kind: "dependency",
                name: "store calls",
                state: "regained",
                detail: `after ${Math.round(lostMs)} ms`,
            }),
    });
    const relayed = createRelayedStore({
        direct: health.observe(createStore(callPooled, address)),
        peers,
        nowMs,
        checkDirect: health.observe(unpooledStore).read,
        hasAnsweredSince: health.hasAnsweredSince,
        onPathChange: (path, detail) =>
            report({ kind: "note", slice: "store", message: `store calls take the ${path} path`, detail }),
        onReadFailed: (attempt) => report({ kind: "readAttemptFailed", ...attempt }),
    });
    return {
        store: createHedgedStore({
            store: relayed,
            alternatives: [probeStore, relayed.peers],
            onRepeated: (prefix, outcome) => report({ kind: "watchRepeated", prefix, outcome }),
        }),
        health,
        isRelayOnly: relayed.isRelayOnly,
        async close() {
            health.stop();
            await Promise.all([callProbed.close(), callPooled.close()]);
        },
    };
}
