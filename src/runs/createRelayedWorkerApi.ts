import type { Peer, PeerFailure, Peers } from "../peers";
import type {
    NoAnswer,
    PollRequest,
    PollResult,
    RequestResult,
    StartRequest,
    StartResult,
    WorkerApi,
    WorkerTarget,
} from "./workerApi";

/** Topic of relayed calls on the peer links. */
const relayTopic = "worker";

/** Timeout of a relayed call in addition to the poll's wait, in milliseconds: for the call itself and the link. */
const relayTimeoutMs = 400;

/** A peer that did not answer a call is not used again for this long, in milliseconds. */
const avoidPeerMs = 5000;

/** How long the list of connected peers is cached, in milliseconds; it is read several hundred times a second. */
const peersCacheMs = 250;

/** A call as sent to a peer. */
type WorkerCall =
    | { readonly call: "start"; readonly worker: WorkerTarget; readonly order: StartRequest; }
    | { readonly call: "look"; readonly worker: WorkerTarget; readonly order: PollRequest; }
    | {
        readonly call: "stop";
        readonly worker: WorkerTarget;
        readonly task: string;
        readonly run: number;
        readonly token: number;
    }
    | {
        readonly call: "pace";
        readonly worker: WorkerTarget;
        readonly task: string;
        readonly run: number;
        readonly percent: number;
        readonly token: number;
    };

export interface RelayedWorkerApiOptions {
    /** Calls workers from this entry. */
    readonly direct: WorkerApi;
    readonly peers: Peers;
    /** Whether this entry is busy and should relay its calls. */
    readonly isBusy: () => boolean;
    readonly nowMs: () => number;
}

/**
 * Calls workers through other entries while this one is busy.
 *
 * The leader makes several calls for each task, and a small instance can make only a few dozen a second. Work would wait
 * although workers are empty and other entries idle. So the leader relays calls through its peers, which make no decisions:
 * the leader sets tokens, leases and the order of writes. A call that a peer delays has the same bounds as one that the
 * network delays: a start by its expiry on the worker's clock, a poll by the lease that it grants.
 */
export function createRelayedWorkerApi(opts: RelayedWorkerApiOptions): WorkerApi {
    const { direct, peers, nowMs } = opts;
    /** Boot id of the peer that calls each worker: always the same one, so that its connections are reused. */
    const relays = new Map<string, string>();
    const avoidedUntilMs = new Map<string, number>();
    let cachedPeers: readonly Peer[] = [];
    let cachedAtMs = Number.NEGATIVE_INFINITY;

    peers.onRequest(relayTopic, (_from, body) => callWorker(direct, body as WorkerCall));

    function listUsablePeers(): readonly Peer[] {
        if (nowMs() - cachedAtMs > peersCacheMs) {
            cachedAtMs = nowMs();
            cachedPeers = peers.connected();
        }
        return cachedPeers.filter(({ boot }) => (avoidedUntilMs.get(boot) ?? 0) <= nowMs());
    }

    function findRelay(workerId: string): string | undefined {
        const usable = listUsablePeers();
        const known = relays.get(workerId);
        if (known !== undefined && usable.some(({ boot }) => boot === known)) {
            return known;
        }
        const chosen = findLeastUsedPeer(usable);
        if (chosen !== undefined) {
            relays.set(workerId, chosen);
        }
        return chosen;
    }

    function findLeastUsedPeer(usable: readonly Peer[]): string | undefined {
        const counts = new Map(usable.map(({ boot }) => [boot, 0]));
        for (const boot of relays.values()) {
            const count = counts.get(boot);
            if (count !== undefined) {
                counts.set(boot, count + 1);
            }
        }
        const [least] = [...counts].sort(([, a], [, b]) => a - b);
        return least?.[0];
    }

    async function call<R>(request: WorkerCall, waitMs = 0): Promise<R | NoAnswer> {
        const boot = opts.isBusy() ? findRelay(request.worker.id) : undefined;
        if (boot === undefined) {
            return await callWorker(direct, request) as R;
        }
        const answer = await peers.request(boot, relayTopic, request, relayTimeoutMs + waitMs);
        return answer.caseOf<R | Promise<R> | NoAnswer>({
            Right: (result) => result as R,
            Left(failure) {
                avoidedUntilMs.set(boot, nowMs() + avoidPeerMs);
                return canRetry(request, failure)
                    ? callWorker(direct, request) as Promise<R>
                    : { kind: "noAnswer", detail: `relayed call failed: ${failure.detail}` };
            },
        });
    }

    return {
        start: ({ id, address }, request) =>
            call<StartResult>({ call: "start", worker: { id, address }, order: request }),
        poll: ({ id, address }, request) =>
            call<PollResult>({ call: "look", worker: { id, address }, order: request }, request.waitMs),
        stop: ({ id, address }, task, run, token) =>
            call<RequestResult>({ call: "stop", worker: { id, address }, task, run, token }),
        pace: ({ id, address }, task, run, percent, token) =>
            call<RequestResult>({ call: "pace", worker: { id, address }, task, run, percent, token }),
    };
}

/** All calls except a start are idempotent. A repeated start could run a task again that has ended since the first. */
function canRetry(request: WorkerCall, { kind }: PeerFailure): boolean {
    return kind === "notSent" || request.call !== "start";
}

function callWorker(workers: WorkerApi, request: WorkerCall): Promise<StartResult | PollResult | RequestResult> {
    const { worker } = request;
    switch (request.call) {
        case "start":
            return workers.start(worker, request.order);
        case "look":
            return workers.poll(worker, request.order);
        case "stop":
            return workers.stop(worker, request.task, request.run, request.token);
        case "pace":
            return workers.pace(worker, request.task, request.run, request.percent, request.token);
    }
}
