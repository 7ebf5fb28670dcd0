import assert from "node:assert/strict";
import { Left } from "purify-ts";
import {
    type Candidate,
    createFailover,
    createLeaderElection,
    createPresence,
    type Failover,
    type LeaderElection,
    leaderKey,
} from "../../src/duties";
import type { LogEvent } from "../../src/logging";
import type { Peers } from "../../src/peers";
import type { Store } from "../../src/store";
import { type Clock, installClock } from "../../standins/dispatch";
import { createFakeNetwork, type FakeNetwork } from "../../standins/fakes";
import { createFakeStore, type FakeStore } from "../../standins/scheduling";
import { createCallGate } from "../../standins/scheduling/createCallGate";

export interface Entry {
    readonly self: Candidate;
    readonly election: LeaderElection;
    readonly failover: Failover;
    readonly peers: Peers;
    readonly log: LogEvent[];
    isUp: boolean;
    /** When it last sent a message to another entry. */
    sentAtMs: number;
    suspend(): void;
    resume(): void;
    /** Its watch gets no more answers, as on a connection that is silent without a reset. */
    silenceWatch(): void;
    kill(): void;
}

export interface World {
    clock: Clock;
    store: FakeStore;
    network: FakeNetwork;
    entries: Map<string, Entry>;
    former: Entry;
    outcomes: readonly string[];
    /** Answer to a request between entries. */
    answer: unknown;
    mayInterruptOnResume: boolean;
}

export function createWorld(): Omit<World, "former" | "outcomes" | "answer" | "mayInterruptOnResume"> {
    const clock = installClock();
    return { clock, store: createFakeStore(), network: createFakeNetwork(), entries: new Map() };
}

/** A suspended process sends nothing. */
function whileRunning(peers: Peers, isSuspended: () => boolean, onSend: () => void): Peers {
    return {
        ...peers,
        send(...args) {
            onSend();
            return !isSuspended() && peers.send(...args);
        },
        request: (...args) =>
            isSuspended() ? Promise.resolve(Left({ kind: "notSent", detail: "" })) : peers.request(...args),
    };
}

/** @param isOld the entry is of a build without failover */
export function addEntry(world: World, boot: string, strength: number, isOld: boolean): void {
    const self = { boot, instance: boot, region: "north", zone: boot.slice(0, 1), peerUrl: `ws://${boot}`, strength };
    const gate = createCallGate();
    const gated = gate.wrap(world.store.connect(boot));
    let isWatchSilent = false;
    const store: Store = {
        ...gated,
        async watch(...args) {
            const result = await gated.watch(...args);
            return isWatchSilent ? new Promise(() => {}) : result;
        },
    };
    const log: LogEvent[] = [];
    const clocks = { monotonicMs: () => performance.now(), suspendAwareMs: () => performance.now() };
    let isSuspended = false;
    const network = isOld ? createFakeNetwork() : world.network;
    const peers = whileRunning(network.connect(self), () => isSuspended, () => entry.sentAtMs = performance.now());
    if (isOld) {
        world.network.connect(self);
    }
    const report = (event: LogEvent) => void log.push(event);
    const election = createLeaderElection({
        store,
        clocks,
        holder: { boot, instance: boot },
        report,
        minTtlMs: 1000,
        fitness: () => "fit",
        isHeard: () => failover.isHeard(),
        onGained: (tenure) => failover.beginTenure(tenure),
        onLost: () => failover.endTenure(),
    });
    const failover = createFailover({ self, peers, clocks, election, report });
    const presence = createPresence({ store, clocks, self, report, election, failover, onPeers() {} });
    presence.start();
    election.start();
    const entry: Entry = {
        self,
        election,
        failover,
        peers,
        log,
        isUp: true,
        sentAtMs: 0,
        suspend() {
            isSuspended = true;
            gate.freeze();
            world.network.frozen.add(boot);
        },
        resume() {
            isSuspended = false;
            world.network.wake(boot);
            gate.wake();
        },
        silenceWatch: () => void (isWatchSilent = true),
        kill() {
            entry.isUp = false;
            gate.close();
            election.stop();
            failover.stop();
            world.network.remove(boot);
            void presence.stop();
        },
    };
    world.entries.set(boot, entry);
}

export async function pass(world: World, ms: number, check = () => {}): Promise<void> {
    for (let at = 0; at < ms; at += 10) {
        await world.clock.advance(Math.min(10, ms - at));
        world.store.expireLeases();
        check();
    }
}

/** Entry that the leader key names. */
export function leaderOf(world: World): Entry | undefined {
    const item = world.store.get(leaderKey);
    return item === undefined ? undefined : world.entries.get((JSON.parse(item.text) as { boot: string; }).boot);
}

export function find(world: World, boot: string): Entry {
    const entry = world.entries.get(boot);
    assert.ok(entry, boot);
    return entry;
}

/** Cuts both directions between two entries. */
export function cutLink(world: World, one: string, other: string): void {
    world.network.cuts.add(`${one}>${other}`).add(`${other}>${one}`);
}

/** Entries that take themselves for the leader and may interrupt tasks. */
export function interrupters(world: World): readonly Entry[] {
    return [...world.entries.values()].filter(({ isUp, election }) =>
        isUp && election.tenure()?.mayInterrupt() === true
    );
}

export function countTakeovers(world: World): number {
    const events = [...world.entries.values()].flatMap(({ log }) => log);
    return events.filter((event) => event.kind === "duty" && event.reason === "evidence").length;
}
