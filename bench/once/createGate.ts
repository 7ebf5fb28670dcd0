import type { Peers } from "../../src/peers";
import type { Platform } from "../../src/platform";
import type { Workers } from "../../src/workers";

/** Stops everything that one entry sends or learns: for a while (a frozen process), or for good (a killed one). */
export interface Gate {
    isFrozen: boolean;
    isDead: boolean;
    freeze(): void;
    wake(): void;
    kill(): void;
    /** Resolves at once, or when the entry is woken; never for a killed one. */
    pass(): Promise<void>;
}

export function createGate(): Gate {
    const waiting: (() => void)[] = [];
    const gate: Gate = {
        isFrozen: false,
        isDead: false,
        freeze() {
            gate.isFrozen = true;
        },
        wake() {
            gate.isFrozen = false;
            waiting.splice(0).forEach((go) => go());
        },
        kill() {
            gate.isDead = true;
        },
        pass() {
            if (gate.isDead) {
                return new Promise(() => {});
            }
            return gate.isFrozen
                ? new Promise<void>((resolve) => waiting.push(() => resolve(gate.pass())))
                : Promise.resolve();
        },
    };
    return gate;
}

/** Runs a call through the gate, on its way out and on its way back. */
async function through<T>(gate: Gate, call: () => Promise<T>): Promise<T> {
    await gate.pass();
    const result = await call();
    await gate.pass();
    return result;
}

export function gatePlatform(platform: Platform, gate: Gate): Platform {
    return {
        read: (key) => through(gate, () => platform.read(key)),
        compareAndSwap: (key, revision, text) => through(gate, () => platform.compareAndSwap(key, revision, text)),
        remove: (key) => through(gate, () => platform.remove(key)),
        watch: (known, waitMs) => through(gate, () => platform.watch(known, waitMs)),
        listInstances: () => through(gate, () => platform.listInstances()),
        close: () => platform.close(),
    };
}

export function gateWorkers(workers: Workers, gate: Gate): Workers {
    return {
        runTask: (worker, order, signal) => through(gate, () => workers.runTask(worker, order, signal)),
        renewLeases: (worker, renewal) => through(gate, () => workers.renewLeases(worker, renewal)),
        stopTask: (worker, attempt, mode) => through(gate, () => workers.stopTask(worker, attempt, mode)),
        readUsage: (worker) => through(gate, () => workers.readUsage(worker)),
        sendCommand: (worker, notice) => through(gate, () => workers.sendCommand(worker, notice)),
        close: () => workers.close(),
    };
}

export function gatePeers(peers: Peers, gate: Gate): Peers {
    return {
        ...peers,
        send(boot, topic, body) {
            void gate.pass().then(() => peers.send(boot, topic, body));
            return true;
        },
        broadcast(topic, body) {
            void gate.pass().then(() => peers.broadcast(topic, body));
        },
        request: (boot, topic, body, timeoutMs) => through(gate, () => peers.request(boot, topic, body, timeoutMs)),
        onRequest(topic, handler) {
            peers.onRequest(topic, (from, body) => through(gate, () => handler(from, body)));
        },
    };
}
