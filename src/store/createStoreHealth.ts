import { callOverdueMs, isConnectionSilent } from "../connections";
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
    /**
     * Called when a call has no answer while a new connection is answered. Calls that were sent before this are not
     * reported again.
     */
    onSilentConnection?(overdueMs: number, laterCallMs: number): void;
}

/** Whether the store answers this entry, directly or through its peers. */
export interface StoreHealth {
    /** Returns a store whose calls are passed on to `direct` and observed. */
    observe(direct: Store): Store;
    /** The store answers neither directly nor through a peer. */
    isLost(): boolean;
    /** A direct call or a probe was answered within the last `freshMs`. */
    isAnswering(): boolean;
    /** True if the store has answered a direct call or a probe that was sent later than this time on the clock `nowMs`. */
    hasAnsweredSince(sentAtMs: number): boolean;
    /** The store is lost, a call to it is overdue, or its answers have taken more than `slowAnswerMs` on average. */
    isSlow(): boolean;
    /** Ends the probes. Calls that are overdue after this start none. */
    stop(): void;
}

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

/** A direct call that should have been answered by now. */
interface OverdueCall {
    readonly sentAtMs: number;
    /** Time that the call may wait at the store by design, in milliseconds. */
    readonly waitMs: number;
    /**
     * False for calls that may take long on a healthy connection: lists, and watches, which a store may leave unanswered
     * while it drops its history.
     */
    readonly isShort: boolean;
    isSettled(): boolean;
}

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
    /** When the latest direct call that has an answer was sent. */
    let latestAnsweredSentAtMs = Number.NEGATIVE_INFINITY;
    let silentReportedAtMs = Number.NEGATIVE_INFINITY;
    let timer: NodeJS.Timeout | undefined;
    let isStopped = false;

    function recordDirectAnswer(sentAtMs: number): void {
        latestAnsweredSentAtMs = Math.max(latestAnsweredSentAtMs, sentAtMs);
        recordAnswer();
    }

    function recordAnswer(): void {
        answeredAtMs = nowMs();
        if (lostAtMs !== undefined) {
            const lostMs = answeredAtMs - lostAtMs;
            lostAtMs = undefined;
            clearInterval(timer);
            opts.onRecovered?.(lostMs);
        }
    }

    async function probeDirect(): Promise<boolean> {
        const sentAtMs = nowMs();
        const result = await opts.probe();
        // A store that limits the rate of calls answers; as a lost one, it would get five more calls a second.
        const isAnswered = result.kind !== "unavailable" || result.isRateLimited === true;
        if (isAnswered) {
            recordDirectAnswer(sentAtMs);
        }
        return isAnswered;
    }

    async function probePeers(): Promise<void> {
        if (await opts.probePeers(storeProbeTimeoutMs)) {
            recordAnswer();
        }
    }

    /**
     * Resolves to true once the store has answered the probe, directly or through a peer; to false if it has not in time.
     */
    async function probe(onDirectAnswer: (probeMs: number) => void = () => {}): Promise<boolean> {
        const sentAtMs = nowMs();
        const direct = probeDirect().then((isAnswered) => isAnswered ? onDirectAnswer(nowMs() - sentAtMs) : undefined);
        await Promise.race([Promise.all([direct, probePeers()]), pauseThenReadSockets(storeProbeTimeoutMs)]);
        return answeredAtMs >= sentAtMs || nowMs() - opts.relayedAtMs() < freshMs;
    }

    /** Reports a silent connection if the overdue call has no answer although the store has answered a probe meanwhile. */
    function checkConnection({ sentAtMs, waitMs, isShort, isSettled }: OverdueCall, probeMs: number): void {
        const overdueMs = nowMs() - sentAtMs - waitMs;
        // The answer of the overdue call may have arrived together with that of the probe.
        setImmediate(() => {
            if (isShort && !isSettled() && sentAtMs > silentReportedAtMs && isConnectionSilent(overdueMs, probeMs)) {
                silentReportedAtMs = nowMs();
                opts.onSilentConnection?.(Math.round(overdueMs), Math.round(probeMs));
            }
        });
    }

    async function probeAfterSilence(call: OverdueCall): Promise<void> {
        if (isProbing || isStopped || lostAtMs !== undefined) {
            return;
        }
        isProbing = true;
        if (!await probe((probeMs) => checkConnection(call, probeMs)) && !isStopped) {
            lostAtMs = nowMs();
            timer = setInterval(() => void probe(), probeIntervalMs).unref();
            opts.onLost?.(`no answer to a call for ${callOverdueMs} ms and to a probe for ${storeProbeTimeoutMs} ms`);
        }
        isProbing = false;
    }

    async function observeCall<R extends ObservedResult>(
        call: Promise<R>,
        { waitMs, isShort }: Pick<OverdueCall, "waitMs" | "isShort"> = { waitMs: 0, isShort: true },
    ): Promise<R> {
        let isSettled = false;
        const sentAtMs = nowMs();
        const overdueCall = { sentAtMs, waitMs, isShort, isSettled: () => isSettled };
        // After the event loop was blocked, timers fire before received answers are read.
        const overdue = setTimeout(
            () => setImmediate(() => isSettled ? undefined : void probeAfterSilence(overdueCall)),
            callOverdueMs + waitMs,
        );
        const result = await call;
        isSettled = true;
        clearTimeout(overdue);
        if (result.kind !== "unavailable" && result.kind !== "unknown") {
            recordDirectAnswer(sentAtMs);
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
            range: (prefix) => observeCall(direct.range(prefix), { waitMs: 0, isShort: false }),
            watch: (prefix, after, waitMs) =>
                observeCall(direct.watch(prefix, after, waitMs), { waitMs, isShort: false }),
            commit: (commit) => observeTimed(direct.commit(commit)),
            grantLease: (ttlMs) => observeTimed(direct.grantLease(ttlMs)),
            renewLease: (lease) => observeTimed(direct.renewLease(lease)),
            endLease: (lease) => observeTimed(direct.endLease(lease)),
        }),
        isLost: () => lostAtMs !== undefined,
        isAnswering: () => nowMs() - answeredAtMs < freshMs,
        hasAnsweredSince: (sentAtMs) => latestAnsweredSentAtMs > sentAtMs,
        isSlow: () => lostAtMs !== undefined || isProbing || meanAnswerMs > slowAnswerMs,
        stop() {
            isStopped = true;
            clearInterval(timer);
        },
    };
}

/** Resolves after a timer, once answers that have arrived meanwhile have been read. */
function pauseThenReadSockets(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(() => setImmediate(resolve), ms));
}
