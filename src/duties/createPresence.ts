import type { Clocks } from "../clock";
import type { Peer } from "../peers";
import { createFollower, type Store, type StoreItem } from "../store";
import { type Duty, dutyKey } from "./createDuty";
import { type Candidate, rankCandidates } from "./rankCandidates";

/** Keys under leases: who is up, and who holds the duty. */
const livePrefix = "samphirepin/live/";
const peerPrefix = `${livePrefix}peer/`;

export interface PresenceOptions {
    readonly store: Store;
    readonly clocks: Clocks;
    readonly self: Candidate;
    readonly duty: Duty;
    /** Other entries that are up, as the store lists them. */
    onPeers(peers: readonly Peer[]): void;
}

export interface Presence {
    /** Boot of the entry that holds the duty, as the store told it last. */
    ownerBoot(): string | undefined;
    start(): void;
    stop(): Promise<void>;
}

/** Lease of an entry's own record, in milliseconds. Only links hang on it, so it may outlast a short outage. */
const presenceTtlMs = 10_000;
const presenceRenewMs = 3000;

/**
 * How long one watch waits, in milliseconds. The holder's end is an event and comes at once; the wait only bounds how
 * long a connection that went silent stays unnoticed.
 */
const watchWaitMs = 2000;

/** Keeps this entry's record in the store and follows those of the others. */
export function createPresence(opts: PresenceOptions): Presence {
    const { store, self, duty } = opts;
    const peers = new Map<string, Candidate>();
    let ownerBoot: string | undefined;
    let lease: number | undefined;
    let timer: NodeJS.Timeout | undefined;

    function noteItem(key: string, item: StoreItem | undefined): void {
        if (key === dutyKey) {
            ownerBoot = item === undefined ? undefined : (JSON.parse(item.text) as { boot: string; }).boot;
        }
        else if (item === undefined) {
            peers.delete(key);
        }
        else {
            peers.set(key, JSON.parse(item.text) as Candidate);
        }
    }

    const follower = createFollower({
        store,
        prefix: livePrefix,
        waitMs: watchWaitMs,
        pauseMs: 0,
        nowMs: opts.clocks.suspendAwareMs,
        onItem: noteItem,
        onBatch() {
            const others = [...peers.values()].filter(({ boot }) => boot !== self.boot);
            opts.onPeers(others);
            duty.noteStanding(rankCandidates(self, others));
            duty.noteHolder(follower.items.get(dutyKey));
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
        ownerBoot: () => ownerBoot,
        start() {
            follower.start();
            void register();
            timer = setInterval(() => void register(), presenceRenewMs);
        },
        async stop() {
            clearInterval(timer);
            follower.stop();
            if (lease !== undefined) {
                await store.endLease(lease);
            }
        },
    };
}
