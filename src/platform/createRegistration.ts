import type { Clocks } from "../clock";
import type { Store } from "../store";

/** Keys of the instances that are up, each under its own lease. */
export const instancePrefix = "samphirepin/instances/";

export interface RegistrationOptions {
    readonly store: Store;
    readonly instance: string;
    readonly boot: string;
    readonly clocks: Clocks;
    /**
     * The lease has ended and could not be renewed: others may take this entry for gone, and with it what it holds. It
     * must not serve any longer.
     */
    onLapsed(): void;
}

export interface Registration {
    start(): void;
    stop(): Promise<void>;
}

/**
 * Lease of an instance's entry in the list, in milliseconds: the longest that the store grants. An entry whose lease has
 * ended counts as gone, and others take over its share of the limits; a zone that is cut off serves on until then.
 */
const ttlMs = 600_000;

/** The lease is renewed this often, in milliseconds; it outlasts nine lost renewals. */
const renewMs = 60_000;

/** Pause after a call without an answer, in milliseconds. */
const retryMs = 1000;

/** An entry stops this long before its lease may end at the store, in milliseconds. */
const marginMs = 5000;

/** Keeps an instance in the platform's list of those that are up. */
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
        validUntilMs = sentAtMs + leased.ttlMs - marginMs;
        return true;
    }

    async function renew(): Promise<boolean> {
        if (lease === undefined) {
            return register();
        }
        const sentAtMs = clocks.suspendAwareMs();
        const result = await store.renewLease(lease);
        if (result.kind === "leased") {
            validUntilMs = sentAtMs + ttlMs - marginMs;
        }
        return result.kind === "leased";
    }

    async function keep(): Promise<void> {
        const isKept = await renew();
        if (isStopped) {
            return;
        }
        if (clocks.suspendAwareMs() > validUntilMs) {
            opts.onLapsed();
            return;
        }
        timer = setTimeout(() => void keep(), isKept ? renewMs : retryMs);
    }

    return {
        start: () => void keep(),
        async stop() {
            isStopped = true;
            clearTimeout(timer);
            if (lease !== undefined) {
                await store.endLease(lease);
            }
        },
    };
}
