import FakeTimers, { type Clock } from "@sinonjs/fake-timers";
import { AsyncLocalStorage } from "node:async_hooks";
import type { Peers } from "../src/peers";

/** One simulated process: the code that runs in it can be frozen and woken, or killed. */
export interface Host {
    readonly name: string;
    state: "running" | "frozen" | "dead";
    /** Runs code inside the process: at once, when it is woken, or never. */
    run(code: () => void): void;
    freeze(): void;
    wake(): void;
    kill(): void;
    /** An adapter whose calls leave the process: what was sent takes effect even if the process is frozen or killed. */
    outside<T extends object>(adapter: T): T;
    /** Links whose handlers run inside the process. */
    outsidePeers(peers: Peers): Peers;
}

export interface Hosts {
    readonly clock: Clock;
    create(name: string): Host;
    uninstall(): void;
}

/** Pauses the runtime's clock and gives each simulated process its own share of the timers. */
export function createHosts(): Hosts {
    const clock = FakeTimers.install({
        now: Date.UTC(2026, 0, 1),
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"],
    });
    const current = new AsyncLocalStorage<Host | undefined>();
    const installed = { setTimeout: globalThis.setTimeout, setInterval: globalThis.setInterval };

    function gate(start: typeof setTimeout | typeof setInterval) {
        return (code: (...args: unknown[]) => void, ms?: number, ...args: unknown[]) => {
            const host = current.getStore();
            const inside = host === undefined ? code : () => host.run(() => code(...args));
            return (start as (code: () => void, ms?: number) => unknown)(inside as () => void, ms);
        };
    }
    globalThis.setTimeout = gate(installed.setTimeout) as unknown as typeof setTimeout;
    globalThis.setInterval = gate(installed.setInterval) as unknown as typeof setInterval;

    function create(name: string): Host {
        const held: (() => void)[] = [];
        const host: Host = {
            name,
            state: "running",
            run(code) {
                switch (host.state) {
                    case "running":
                        current.run(host, code);
                        return;
                    case "frozen":
                        held.push(code);
                        return;
                    case "dead":
                        return;
                }
            },
            freeze() {
                host.state = host.state === "dead" ? "dead" : "frozen";
            },
            wake() {
                if (host.state === "frozen") {
                    host.state = "running";
                    held.splice(0).forEach((code) => host.run(code));
                }
            },
            kill() {
                host.state = "dead";
                held.length = 0;
            },
            outside: (adapter) =>
                new Proxy(adapter, {
                    get(target, property, receiver) {
                        const member: unknown = Reflect.get(target, property, receiver);
                        if (typeof member !== "function") {
                            return member;
                        }
                        return (...args: unknown[]) => {
                            const result: unknown = current.run(undefined, () => member.apply(target, args) as unknown);
                            return result instanceof Promise ? comeBack(host, result) : result;
                        };
                    },
                }),
            outsidePeers(peers) {
                const outside = host.outside(peers);
                return {
                    ...outside,
                    connected: () => outside.connected(),
                    send: (...args) => outside.send(...args),
                    broadcast: (...args) => outside.broadcast(...args),
                    request: (...args) => outside.request(...args),
                    onMessage: (topic, handler) =>
                        peers.onMessage(topic, (from, body) => host.run(() => handler(from, body))),
                    onRequest: (topic, handler) =>
                        peers.onRequest(
                            topic,
                            (from, body) =>
                                new Promise((resolve, reject) =>
                                    host.run(() => void handler(from, body).then(resolve, reject))
                                ),
                        ),
                };
            },
        };
        return host;
    }

    return {
        clock,
        create,
        uninstall() {
            clock.uninstall();
        },
    };
}

/** The answer reaches the process when it runs, and never once it has been killed. */
function comeBack<T>(host: Host, answer: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
        answer.then((value) => host.run(() => resolve(value)), (error: unknown) => host.run(() => reject(error)));
    });
}
