import type { Clocks } from "../clock";
import type { Reporter } from "../logging";
import { createPrefixWatcher, type Store, type StoreItem } from "../store";
import type { Failover } from "./createFailover";
import { leaderKey } from "./createLeaderElection";
import { decodeCandidate, decodeLeader } from "./decodeRecords";
import type { LeaderElection } from "./leaderElection";
import { type Candidate, rankCandidates } from "./rankCandidates";

/** Keys under leases: the entries that are up, and the leader. */
const livePrefix = "samphirepin/live/";
const peerPrefix = `${livePrefix}peer/`;

export interface PresenceOptions {
    readonly store: Store;
    readonly clocks: Clocks;
    readonly self: Candidate;
    readonly report: Reporter;
    readonly election: LeaderElection;
    readonly failover: Pick<Failover, "updateFleet" | "standbys">;
    /** Called with the other entries that are up, according to the store. */
    onPeers(peers: readonly Candidate[]): void;
}

export interface Presence {
    /** Boot id of the leader as last read from the store; `undefined` for none. */
    leaderBoot(): string | undefined;
    /** Number of entries that are up, this one included, as last read from the store. */
    entryCount(): number;
    start(): void;
    stop(): Promise<void>;
}

/** Lease of an entry's own record, in milliseconds. Only peer links depend on it, so it may outlast a short outage. */
const presenceTtlMs = 10_000;
const presenceRenewMs = 3000;

/**
 * How long one watch call waits, in milliseconds. The end of the leader's lease is an event and arrives at once. The wait
 * only bounds how long a silent connection goes unnoticed.
 */
const watchWaitMs = 2000;

/** Keeps this entry's record in the store, watches those of the others, and feeds both to the leader election. */
export function createPresence(opts: PresenceOptions): Presence {
    const { store, self, election, failover } = opts;
    const peers = new Map<string, Candidate>();
    let leaderBoot: string | undefined;
    let lease: number | undefined;
    let timer: NodeJS.Timeout | undefined;

    function updateItem(key: string, item: StoreItem | undefined): void {
        if (key === leaderKey) {
            leaderBoot = item === undefined ? undefined : decodeLeader(item.text)?.boot;
            return;
        }
        const candidate = item === undefined ? undefined : decodeCandidate(item.text);
        if (candidate === undefined) {
            peers.delete(key);
        }
        else {
            peers.set(key, candidate);
        }
        if (item !== undefined && candidate === undefined) {
            opts.report({ kind: "valueRefused", key, detail: "the record describes no entry that can be reached" });
        }
    }

    const watcher = createPrefixWatcher({
        store,
        prefix: livePrefix,
        waitMs: watchWaitMs,
        pauseMs: 0,
        nowMs: opts.clocks.suspendAwareMs,
        onItem: updateItem,
        onBatch() {
            const others = [...peers.values()].filter(({ boot }) => boot !== self.boot);
            const leaderItem = watcher.items.get(leaderKey);
            failover.updateFleet(
                others,
                leaderBoot === undefined || leaderItem === undefined
                    ? undefined
                    : { boot: leaderBoot, token: leaderItem.revision },
            );
            opts.onPeers(others);
            election.updateRanking(rankCandidates(self, others, failover.standbys()[0]));
            election.updateLeader(leaderItem);
        },
    });

    async function register(): Promise<void> {
        if (lease !== undefined) {
            const renewed = await store.renewLease(lease);
            if (renewed.kind !== "leaseEnded") {
                return;
            }
            lease = undefined;
        }
        const leased = await store.grantLease(presenceTtlMs);
        if (leased.kind !== "leased") {
            return;
        }
        const result = await store.commit({
            conditions: [],
            puts: [{ key: peerPrefix + self.boot, text: JSON.stringify(self), lease: leased.lease }],
            deletes: [],
        });
        lease = result.kind === "committed" ? leased.lease : undefined;
    }

    return {
        leaderBoot: () => leaderBoot,
        entryCount: () => new Set([self.boot, ...[...peers.values()].map(({ boot }) => boot)]).size,
        start() {
            watcher.start();
            void register();
            timer = setInterval(() => void register(), presenceRenewMs);
        },
        async stop() {
            clearInterval(timer);
            watcher.stop();
            if (lease !== undefined) {
                await store.endLease(lease);
            }
        },
    };
}
