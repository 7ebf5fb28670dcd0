import type { ReadResult, Store } from "./store";

export interface StoreHealthOptions {
    /**
     * Reads one key directly. It needs connections of its own: a probe that waits for a connection behind silent calls
     * would show nothing about the store. The read should end after `storeProbeTimeoutMs`.
     */
    probe(): Promise<ReadResult>;
    /** Reads one key through peers; resolves to true if a peer has passed on an answer of the store. */
    probePeers(timeoutMs: number): Promise<boolean>;
    /** When a peer last relayed a call successfully, on the clock `nowMs`; negative infinity if never. */
    relayedAtMs(): number;
    /** Clock that also counts time during which this process was suspended, in milliseconds. */
    readonly nowMs: () => number;
    /** Called when the store counts as lost, once until it answers again. */
    onLost?(detail: string): void;
    /** Called at the first answer after `onLost`. */
    onRecovered?(lostMs: number): void;
}

/** Whether the store answers this entry, directly or through its peers. */
export interface StoreHealth {
    /** Returns a store whose calls are passed on to `direct` and observed. */
    observe(direct: Store): Store;
    /** The store answers neither directly nor through a peer. */
    isLost(): boolean;
    /** A direct call or a probe was answered within the last `freshMs`. */
    isAnswering(): boolean;
    /** The store is lost, a call to it is overdue, or its answers have taken more than `slowAnswerMs` on average. */
    isSlow(): boolean;
}

/** A direct call without an answer for this long starts a probe, in milliseconds. A slow store takes about 300. */
const unansweredMs = 400;

/**
 * Timeout of a probe, in milliseconds. A store that answers within 300 ms must never count as lost; the other 50 ms
 * cover the network and late timers of a busy entry.
 */
export const storeProbeTimeoutMs = 350;

/** Interval of probes while the store is lost, in milliseconds. */
const probeIntervalMs = 200;

/** An answer within this time, direct or relayed, shows that the store is not lost, in milliseconds. */
const freshMs = 500;

/** Mean answer time from which the store counts as slow, in milliseconds. A fast store takes about 4. */
const slowAnswerMs = 50;

/** Weight of a new answer time in the moving average: about the last five calls count. */
const sampleWeight = 0.2;

type ObservedResult = { readonly kind: string; };

/**
 * Detects a store that has stopped answering, within a second.
 *
 * Calls time out after 900 ms and are retried, so without this a client of an entry that is cut off waits until its own
 * timeout. A single silent connection or a slow store is no loss: the probe is answered, or another call is answered
 * while the probe waits. An entry whose calls are relayed through peers can store, so it is not cut off either.
 */
export function createStoreHealth(opts: StoreHealthOptions): StoreHealth {
    const { nowMs } = opts;
    let isProbing = false;
    let answeredAtMs = Number.NEGATIVE_INFINITY;
    let lostAtMs: number | undefined;
    let meanAnswerMs = 0;
    let timer: NodeJS.Timeout | undefined;

    function recordAnswer(): void {
        answeredAtMs = nowMs();
        if (lostAtMs !== undefined) {
            const lostMs = answeredAtMs - lostAtMs;
            lostAtMs = undefined;
            clearInterval(timer);
            opts.onRecovered?.(lostMs);
        }
    }

    /** Resolves to true once the store has answered the probe, directly or through a peer; to false if it has not in time. */
    async function probe(): Promise<boolean> {
        const sentAtMs = nowMs();
        const results = [
            // A store that limits the rate of calls answers; as a lost one, it would get five more calls a second.
            opts.probe().then((result) => result.kind !== "unavailable" || result.isRateLimited === true),
            opts.probePeers(storeProbeTimeoutMs),
        ].map((result) =>
            result.then((isAnswered) => {
                if (isAnswered) {
                    recordAnswer();
                }
            })
        );
        await Promise.race([Promise.all(results), pauseThenReadSockets(storeProbeTimeoutMs)]);
        return answeredAtMs >= sentAtMs || nowMs() - opts.relayedAtMs() < freshMs;
    }

    async function probeAfterSilence(): Promise<void> {
        if (isProbing || lostAtMs !== undefined) {
            return;
        }
        isProbing = true;
        if (!await probe()) {
            lostAtMs = nowMs();
            timer = setInterval(() => void probe(), probeIntervalMs).unref();
            opts.onLost?.(`no answer to a call for ${unansweredMs} ms and to a probe for ${storeProbeTimeoutMs} ms`);
        }
        isProbing = false;
    }

    /** @param waitMs time that the call may wait at the store by design, in milliseconds */
    async function observeCall<R extends ObservedResult>(call: Promise<R>, waitMs = 0): Promise<R> {
        let isSettled = false;
        // After the event loop was blocked, timers fire before received answers are read.
        const overdue = setTimeout(
            () => setImmediate(() => isSettled ? undefined : void probeAfterSilence()),
            unansweredMs + waitMs,
        );
        const result = await call;
        isSettled = true;
        clearTimeout(overdue);
        if (result.kind !== "unavailable" && result.kind !== "unknown") {
            recordAnswer();
        }
        return result;
    }

    /** Observes a call whose duration shows how fast the store is. Reads of a prefix take many pages, and watches wait. */
    async function observeTimed<R extends ObservedResult>(call: Promise<R>): Promise<R> {
        const sentAtMs = nowMs();
        const result = await observeCall(call);
        meanAnswerMs += (nowMs() - sentAtMs - meanAnswerMs) * sampleWeight;
        return result;
    }

    return {
        observe: (direct) => ({
            read: (key) => observeTimed(direct.read(key)),
            // A long list may take longer than a probe's delay; the probe is answered then.
            range: (prefix) => observeCall(direct.range(prefix)),
            watch: (prefix, after, waitMs) => observeCall(direct.watch(prefix, after, waitMs), waitMs),
            commit: (commit) => observeTimed(direct.commit(commit)),
            grantLease: (ttlMs) => observeTimed(direct.grantLease(ttlMs)),
            renewLease: (lease) => observeTimed(direct.renewLease(lease)),
            endLease: (lease) => observeTimed(direct.endLease(lease)),
        }),
        isLost: () => lostAtMs !== undefined,
        isAnswering: () => nowMs() - answeredAtMs < freshMs,
        isSlow: () => lostAtMs !== undefined || isProbing || meanAnswerMs > slowAnswerMs,
    };
}

/** Resolves after a timer, once answers that have arrived meanwhile have been read. */
function pauseThenReadSockets(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(() => setImmediate(resolve), ms));
}
