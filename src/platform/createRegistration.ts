import type { Clocks } from "../clock";
import type { Store } from "../store";

/** Prefix of the keys of running instances; each key has a lease of its own. */
export const instancePrefix = "samphirepin/instances/";

export interface RegistrationOptions {
    readonly store: Store;
    readonly instance: string;
    readonly boot: string;
    readonly clocks: Clocks;
    /**
     * Called when the lease may have expired and could not be renewed. Other entries may then consider this entry ended
     * and take over what it holds, so it must stop serving.
     */
    onLeaseExpired(): void;
}

export interface Registration {
    /** Registers the instance and renews its lease until `stop`; retries until that succeeds. */
    start(): void;
    /** Ends the lease, which removes the instance from the list. */
    stop(): Promise<void>;
}

/**
 * Lease of an instance's key, in milliseconds; the longest that the store grants. An entry whose lease has expired
 * counts as ended, and other entries take over its share of the limits. An isolated zone keeps serving until then.
 */
const ttlMs = 600_000;

/** Interval of lease renewals, in milliseconds; the lease outlasts nine lost renewals. */
const renewMs = 60_000;

/** Retry delay after a call without an answer, in milliseconds. */
const retryMs = 1000;

/** Safety margin by which an entry stops before its lease may expire at the store, in milliseconds. */
const expiryMarginMs = 5000;

/** Keeps an instance in the platform's list of running instances. */
export function createRegistration(opts: RegistrationOptions): Registration {
    const { store, clocks } = opts;
    const key = instancePrefix + opts.instance;
    let lease: number | undefined;
    let validUntilMs = Number.POSITIVE_INFINITY;
    let timer: NodeJS.Timeout | undefined;
    let isStopped = false;

    async function register(): Promise<boolean> {
        const sentAtMs = clocks.suspendAwareMs();
        const leased = await store.grantLease(ttlMs);
        if (leased.kind !== "leased") {
            return false;
        }
        const puts = [{ key, text: JSON.stringify({ boot: opts.boot }), lease: leased.lease }];
        const result = await store.commit({ conditions: [], puts, deletes: [] });
        if (result.kind !== "committed") {
            return false;
        }
        lease = leased.lease;
        validUntilMs = sentAtMs + leased.ttlMs - expiryMarginMs;
        return true;
    }

    async function renew(): Promise<boolean> {
        if (lease === undefined) {
            return register();
        }
        const sentAtMs = clocks.suspendAwareMs();
        const result = await store.renewLease(lease);
        if (result.kind === "leased") {
            validUntilMs = sentAtMs + ttlMs - expiryMarginMs;
        }
        return result.kind === "leased";
    }

    async function renewAndSchedule(): Promise<void> {
        const isRenewed = await renew();
        if (isStopped) {
            return;
        }
        if (clocks.suspendAwareMs() > validUntilMs) {
            opts.onLeaseExpired();
            return;
        }
        timer = setTimeout(() => void renewAndSchedule(), isRenewed ? renewMs : retryMs);
    }

    return {
        start: () => void renewAndSchedule(),
        async stop() {
            isStopped = true;
            clearTimeout(timer);
            if (lease !== undefined) {
                await store.endLease(lease);
            }
        },
    };
}
