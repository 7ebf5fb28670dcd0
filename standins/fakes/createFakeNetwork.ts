import { type Either, Left, Right } from "purify-ts";
import type { Peer, PeerFailure, Peers } from "../../src/peers";

/** Links between the entries of one test, which can be cut in each direction and delayed. */
export interface FakeNetwork {
    delayMs: number;
    /** Pairs `fromBoot>toBoot` over which nothing arrives. */
    readonly cuts: Set<string>;
    /** Pairs `fromBoot>toBoot` over which nothing arrives although the link counts as connected. */
    readonly silences: Set<string>;
    /** Boots that handle nothing; what arrives waits until they are woken. */
    readonly frozen: Set<string>;
    /** Runs what has waited for a boot that was frozen. */
    wake(boot: string): void;
    connect(self: Peer): Peers;
    /** Takes a killed boot off the network. */
    remove(boot: string): void;
}

interface Node {
    readonly peer: Peer;
    readonly messageHandlers: Map<string, (from: Peer, body: unknown) => void>;
    readonly requestHandlers: Map<string, (from: Peer, body: unknown) => Promise<unknown>>;
    readonly waiting: (() => void)[];
}

export function createFakeNetwork(): FakeNetwork {
    const nodes = new Map<string, Node>();
    const network: FakeNetwork = {
        delayMs: 1,
        cuts: new Set(),
        silences: new Set(),
        frozen: new Set(),
        wake(boot) {
            network.frozen.delete(boot);
            nodes.get(boot)?.waiting.splice(0).forEach((run) => run());
        },
        connect,
        remove: (boot) => nodes.delete(boot),
    };

    function passes(from: string, to: string): boolean {
        return nodes.has(from) && nodes.has(to) && !network.cuts.has(`${from}>${to}`);
    }

    function deliver(from: string, to: string, run: (node: Node) => void): void {
        setTimeout(() => {
            const node = nodes.get(to);
            if (node === undefined || !passes(from, to) || network.silences.has(`${from}>${to}`)) {
                return;
            }
            if (network.frozen.has(to)) {
                node.waiting.push(() => run(node));
            }
            else {
                run(node);
            }
        }, network.delayMs);
    }

    function connect(self: Peer): Peers {
        const node: Node = { peer: self, messageHandlers: new Map(), requestHandlers: new Map(), waiting: [] };
        nodes.set(self.boot, node);

        function isConnected(boot: string): boolean {
            return boot !== self.boot && passes(self.boot, boot) && passes(boot, self.boot)
                && !network.frozen.has(boot);
        }

        return {
            self,
            connected: () => [...nodes.values()].map(({ peer }) => peer).filter(({ boot }) => isConnected(boot)),
            send(boot, topic, body) {
                if (!isConnected(boot)) {
                    return false;
                }
                const copy = structuredClone(body);
                deliver(self.boot, boot, (target) => target.messageHandlers.get(topic)?.(self, copy));
                return true;
            },
            broadcast(topic, body) {
                this.connected().forEach(({ boot }) => this.send(boot, topic, body));
            },
            request(boot, topic, body, timeoutMs): Promise<Either<PeerFailure, unknown>> {
                if (!isConnected(boot)) {
                    return Promise.resolve(Left({ kind: "notSent", detail: "there is no link" }));
                }
                const copy = structuredClone(body);
                return new Promise((resolve) => {
                    const timer = setTimeout(() => resolve(Left({ kind: "unknown", detail: "no answer" })), timeoutMs);
                    deliver(self.boot, boot, (target) => {
                        void target.requestHandlers.get(topic)?.(self, copy).then((answer) => {
                            deliver(boot, self.boot, () => {
                                clearTimeout(timer);
                                resolve(Right(structuredClone(answer)));
                            });
                        });
                    });
                });
            },
            onMessage: (topic, handler) => void node.messageHandlers.set(topic, handler),
            onRequest: (topic, handler) => void node.requestHandlers.set(topic, handler),
            setAddresses() {},
            start: () => Promise.resolve(),
            stop: () => {
                nodes.delete(self.boot);
                return Promise.resolve();
            },
        };
    }

    return network;
}
