import type { Peer, PeerFailure, Peers } from "../peers";
import type {
    LookOrder,
    LookResult,
    NoAnswer,
    OrderResult,
    StartOrder,
    StartResult,
    TaskWorkers,
    WorkerTarget,
} from "./taskWorkers";

/** Topic of relayed calls on the links between entries. */
const relayTopic = "worker";

/** How long a relayed call may take beyond what the worker itself waits, in milliseconds: its time there, and the way. */
const relayTimeoutMs = 400;

/** A peer that left a call unanswered is not asked again for this long, in milliseconds. */
const avoidMs = 5000;

/** How long the list of linked peers is used, in milliseconds; it is asked for several hundred times a second. */
const peersReuseMs = 250;

/** A call as it travels to a peer. */
type WorkerCall =
    | { readonly call: "start"; readonly worker: WorkerTarget; readonly order: StartOrder; }
    | { readonly call: "look"; readonly worker: WorkerTarget; readonly order: LookOrder; }
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

export interface RelayedWorkersOptions {
    readonly direct: TaskWorkers;
    readonly peers: Peers;
    /** Whether this entry has more to do than it should do alone. */
    readonly isBusy: () => boolean;
    readonly nowMs: () => number;
}

/**
 * The workers, through other entries while this one is busy.
 *
 * Whoever decides for a fleet makes several calls for each task, and a small instance makes a few dozen a second: its work
 * would wait although workers stand empty and other entries idle. So it hands calls to its peers, which make them in its
 * place and decide nothing: tokens, leases and the order of writes are the owner's. A call that a peer holds up is one that
 * was lost on its way, and bounded as such: a start by its end on the worker's clock, a look by the time that it grants.
 */
export function createRelayedWorkers(opts: RelayedWorkersOptions): TaskWorkers {
    const { direct, peers, nowMs } = opts;
    /** Boot of the peer that calls a worker: always the same one, so that its connections are used again. */
    const relays = new Map<string, string>();
    const avoidedUntilMs = new Map<string, number>();
    let linked: readonly Peer[] = [];
    let linkedAtMs = Number.NEGATIVE_INFINITY;

    peers.onRequest(relayTopic, (_from, body) => callWorker(direct, body as WorkerCall));

    function listUsable(): readonly Peer[] {
        if (nowMs() - linkedAtMs > peersReuseMs) {
            linkedAtMs = nowMs();
            linked = peers.connected();
        }
        return linked.filter(({ boot }) => (avoidedUntilMs.get(boot) ?? 0) <= nowMs());
    }

    function findRelay(workerId: string): string | undefined {
        const usable = listUsable();
        const known = relays.get(workerId);
        if (known !== undefined && usable.some(({ boot }) => boot === known)) {
            return known;
        }
        const chosen = findLeastUsed(usable);
        if (chosen !== undefined) {
            relays.set(workerId, chosen);
        }
        return chosen;
    }

    function findLeastUsed(usable: readonly Peer[]): string | undefined {
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

    async function call<R>(order: WorkerCall, waitMs = 0): Promise<R | NoAnswer> {
        const boot = opts.isBusy() ? findRelay(order.worker.id) : undefined;
        if (boot === undefined) {
            return await callWorker(direct, order) as R;
        }
        const answer = await peers.request(boot, relayTopic, order, relayTimeoutMs + waitMs);
        return answer.caseOf<R | Promise<R> | NoAnswer>({
            Right: (result) => result as R,
            Left(failure) {
                avoidedUntilMs.set(boot, nowMs() + avoidMs);
                return mayRepeat(order, failure)
                    ? callWorker(direct, order) as Promise<R>
                    : { kind: "noAnswer", detail: `through a peer: ${failure.detail}` };
            },
        });
    }

    return {
        start: ({ id, address }, order) => call<StartResult>({ call: "start", worker: { id, address }, order }),
        look: ({ id, address }, order) =>
            call<LookResult>({ call: "look", worker: { id, address }, order }, order.waitMs),
        stop: ({ id, address }, task, run, token) =>
            call<OrderResult>({ call: "stop", worker: { id, address }, task, run, token }),
        pace: ({ id, address }, task, run, percent, token) =>
            call<OrderResult>({ call: "pace", worker: { id, address }, task, run, percent, token }),
    };
}

/** Made twice, all calls but a start do what they do once; a start may have begun a task that has ended since. */
function mayRepeat(order: WorkerCall, { kind }: PeerFailure): boolean {
    return kind === "notSent" || order.call !== "start";
}

function callWorker(workers: TaskWorkers, order: WorkerCall): Promise<StartResult | LookResult | OrderResult> {
    const { worker } = order;
    switch (order.call) {
        case "start":
            return workers.start(worker, order.order);
        case "look":
            return workers.look(worker, order.order);
        case "stop":
            return workers.stop(worker, order.task, order.run, order.token);
        case "pace":
            return workers.pace(worker, order.task, order.run, order.percent, order.token);
    }
}
