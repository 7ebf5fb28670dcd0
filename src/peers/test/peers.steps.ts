import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { Packr } from "msgpackr";
import assert from "node:assert/strict";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import type { Either } from "purify-ts";
import { WebSocket } from "ws";
import { findFreePort } from "../../../standins/processes";
import { createRandom } from "../../../standins/random";
import { createListeners, defaultIntakeLimits, deriveConnectionLimits } from "../../listeners";
import { chooseLinks, createPeers, type Peer, type PeerFailure, type Peers } from "../index";

interface World {
    entries: Peers[];
    answer: Either<PeerFailure, unknown>;
    waitedMs: number;
    acceptedMb: number;
    refusedSends: number;
    fleet: readonly Peer[];
    links: ReadonlyMap<string, readonly string[]>;
}

setDefaultTimeout(20_000);

const maxDescriptors = 4096;
const listeners = createListeners(defaultIntakeLimits, () => {});

const packr = new Packr({ useRecords: false });

After(async function(this: World) {
    await Promise.all((this.entries ?? []).map((peers) => peers.stop()));
});

async function startEntry(name: string, certificate?: string): Promise<Peers> {
    const port = await findFreePort();
    const scheme = certificate === undefined ? "ws" : "wss";
    const peers = createPeers({
        self: { boot: name, instance: name, region: "r", zone: "z", peerUrl: `${scheme}://127.0.0.1:${port}` },
        host: "127.0.0.1",
        port,
        heartbeatMs: 50,
        silenceMs: 2000,
        listeners,
        limits: deriveConnectionLimits(maxDescriptors),
        ...certificate === undefined ? {} : { certificates: readCertificates(certificate) },
    });
    await peers.start();
    return peers;
}

function readCertificates(name: string) {
    const read = (file: string) => readFileSync(`src/peers/test/certificates/${file}`, "utf8");
    return { cert: read(`${name}.pem`), key: read(`${name}.key`), ca: read("ca.pem") };
}

async function startTwo(world: World, certificates: readonly (string | undefined)[]): Promise<void> {
    world.entries = [await startEntry("a", certificates[0]), await startEntry("b", certificates[1])];
    const addresses = world.entries.map(({ self }) => self.peerUrl);
    world.entries.forEach((peers) => peers.setAddresses(addresses));
}

async function isLinkedWithin(world: World, ms: number): Promise<boolean> {
    const endAtMs = Date.now() + ms;
    while (world.entries.some((peers) => peers.connected().length === 0) && Date.now() < endAtMs) {
        await new Promise((resolve) => setTimeout(resolve, 10));
    }
    return world.entries.every((peers) => peers.connected().length === 1);
}

async function ask(world: World, topic: string): Promise<void> {
    const startedAtMs = Date.now();
    world.answer = await world.entries[0]!.request("b", topic, {}, 5000);
    world.waitedMs = Date.now() - startedAtMs;
}

/** Opens a connection that does not belong to any entry; resolves once it is open. */
async function openLink(peers: Peers): Promise<WebSocket> {
    const socket = new WebSocket(peers.self.peerUrl);
    socket.on("error", () => {});
    await once(socket, "open");
    return socket;
}

Given("two linked entries", async function(this: World) {
    await startTwo(this, []);
    assert.ok(await isLinkedWithin(this, 5000));
    this.entries[1]!.onRequest("echo", (_from, body) => Promise.resolve(body));
});

Given("two entries with certificates {string} and {string}", async function(this: World, one: string, other: string) {
    await startTwo(this, [one, other]);
});

When("a request and a message are sent to handlers that throw", async function(this: World) {
    const fail = () => assert.fail("error in a handler");
    this.entries[1]!.onMessage("fail", fail);
    this.entries[1]!.onRequest("fail", fail);
    assert.ok(this.entries[0]!.send("b", "fail", {}));
    await ask(this, "fail");
});

When("a request is sent on a topic without a handler", async function(this: World) {
    await ask(this, "nobody");
});

When(
    "{int} invalid frames are sent to the first entry on separate links",
    async function(this: World, count: number) {
        const kinds = fc.constantFrom("hello", "heartbeat", "message", "request", "answer", "failure", "other");
        const frame = fc.record({
            kind: kinds,
            id: fc.anything(),
            topic: fc.anything(),
            body: fc.anything(),
            peer: fc.anything(),
        });
        const bytes = fc.oneof(fc.uint8Array({ maxLength: 64 }), frame.map((each) => packSafely(each)));
        const huge = [
            Buffer.from("ddffffffff", "hex"),
            Buffer.from("dfffffffff", "hex"),
            Buffer.from("c6ffffffff", "hex"),
        ];
        let socket = await openLink(this.entries[0]!);
        for (const each of [...huge, ...fc.sample(bytes, { numRuns: count, seed: 1 })]) {
            if (socket.readyState !== WebSocket.OPEN) {
                socket = await openLink(this.entries[0]!);
            }
            socket.send(each);
            await new Promise((resolve) => setImmediate(resolve));
        }
        socket.terminate();
    },
);

/** Packs a generated value; returns no bytes if it cannot be packed. */
function packSafely(value: unknown): Uint8Array {
    try {
        return packr.pack(value);
    }
    catch {
        return new Uint8Array();
    }
}

When("another process on the link port answers requests that were not sent to it", async function(this: World) {
    this.entries[1]!.onRequest("slow", async () => {
        await new Promise((resolve) => setTimeout(resolve, 300));
        return "true";
    });
    const stranger = await openLink(this.entries[0]!);
    const peer = { boot: "c", instance: "c", region: "r", zone: "z", peerUrl: "ws://127.0.0.1:1" };
    stranger.send(packr.pack({ kind: "hello", peer }));
    const asked = ask(this, "slow");
    for (let id = 0; id < 50; id++) {
        stranger.send(packr.pack({ kind: "answer", id, body: "false" }));
    }
    await asked;
    stranger.terminate();
});

When("the second entry stops reading and {int} MB are sent to it", async function(this: World, megabytes: number) {
    const frozen = await openLink(this.entries[0]!);
    const peer = { boot: "d", instance: "d", region: "r", zone: "z", peerUrl: "ws://127.0.0.1:1" };
    frozen.send(packr.pack({ kind: "hello", peer }));
    while (!this.entries[0]!.connected().some(({ boot }) => boot === "d")) {
        await new Promise((resolve) => setTimeout(resolve, 10));
    }
    frozen.pause();
    this.refusedSends = 0;
    const body = "x".repeat(512 * 1024);
    for (let sent = 0; sent < megabytes * 2; sent++) {
        this.refusedSends += this.entries[0]!.send("d", "bulk", body) ? 0 : 1;
    }
    this.acceptedMb = (this.entries[0]!.traffic?.().sentBytes ?? Infinity) / 1024 / 1024;
    frozen.terminate();
});

Then("the request is answered {string} within {int} ms", function(this: World, kind: string, ms: number) {
    assert.equal(this.answer.swap().map((failure) => failure.kind).extract(), kind);
    assert.ok(this.waitedMs < ms, `${this.waitedMs} ms`);
});

Then("another request is answered", async function(this: World) {
    await ask(this, "echo");
    assert.ok(this.answer.isRight());
});

Then("the pending request is answered by the entry that it was sent to", function(this: World) {
    assert.equal(this.answer.orDefault("nothing"), "true");
});

Then(
    "less than {int} MB are accepted for sending, and some sends are refused",
    function(this: World, megabytes: number) {
        assert.ok(this.acceptedMb < megabytes, `${this.acceptedMb} MB were accepted`);
        assert.ok(this.refusedSends > 0);
    },
);

Then("each has {int} link", async function(this: World, count: number) {
    await new Promise((resolve) => setTimeout(resolve, 300));
    assert.deepEqual(this.entries.map((peers) => peers.traffic?.().links), [count, count]);
});

Then("they are linked within {int} ms", async function(this: World, ms: number) {
    assert.ok(await isLinkedWithin(this, ms));
});

Then("they are not linked after {int} ms", async function(this: World, ms: number) {
    assert.equal(await isLinkedWithin(this, ms), false);
    assert.ok(this.entries.every((peers) => peers.connected().length === 0));
});

When("neither entry wants the link any more", function(this: World) {
    this.entries.forEach((peers) => peers.setAddresses([]));
});

Then("no link is left after {int} ms", async function(this: World, ms: number) {
    const endAtMs = Date.now() + ms;
    const count = () => this.entries.reduce((sum, peers) => sum + (peers.traffic?.().links ?? 0), 0);
    while (count() > 0 && Date.now() < endAtMs) {
        await new Promise((resolve) => setTimeout(resolve, 20));
    }
    assert.equal(count(), 0);
});

Given("{int} entries of a fleet, one of them the leader", function(this: World, count: number) {
    const random = createRandom(count);
    const names = Array.from({ length: count }, () => random.int(0, 2 ** 30).toString(16));
    this.fleet = names.map((boot) => ({ boot, instance: boot, region: "r", zone: "z", peerUrl: `ws://${boot}` }));
    const leader = names[0];
    this.links = new Map(names.map((self) => {
        const others = this.fleet.filter(({ boot }) => boot !== self);
        return [self, chooseLinks({ self, others, leader }).map(({ boot }) => boot)];
    }));
});

Then("each entry links to the leader, and the leader to all", function(this: World) {
    const [leader, ...others] = this.fleet.map(({ boot }) => boot);
    assert.equal(this.links.get(leader ?? "")?.length, others.length);
    others.forEach((boot) => assert.ok(this.links.get(boot)?.includes(leader ?? "")));
});

Then("each other entry makes at most {int} links", function(this: World, most: number) {
    this.fleet.slice(1).forEach(({ boot }) => assert.ok((this.links.get(boot)?.length ?? 0) <= most));
});

Then("any two entries are connected over at most {int} links without the leader", function(this: World, most: number) {
    const others = this.fleet.slice(1).map(({ boot }) => boot);
    const neighbors = new Map(others.map((boot) => [boot, new Set<string>()]));
    for (const from of others) {
        for (const to of this.links.get(from) ?? []) {
            neighbors.get(from)?.add(to);
            neighbors.get(to)?.add(from);
        }
    }
    let reached = new Set(others.slice(0, 1));
    for (let hop = 0; hop < most; hop++) {
        reached = new Set([...reached].flatMap((boot) => [boot, ...neighbors.get(boot) ?? []]));
    }
    others.forEach((boot) => assert.ok(reached.has(boot), boot));
});

Then(
    "the entries {int}, {int} and {int} link to each other and to the leader as its standbys",
    function(this: World, first: number, second: number, third: number) {
        const boots = this.fleet.map(({ boot }) => boot);
        const [leader] = boots;
        const standbys = [first, second, third].map((number) => boots[number] ?? "");
        for (const self of standbys) {
            const others = this.fleet.filter(({ boot }) => boot !== self);
            const linked = chooseLinks({ self, others, leader, standbys }).map(({ boot }) => boot);
            [leader, ...standbys].filter((boot) => boot !== self).forEach((boot) =>
                assert.ok(linked.includes(boot ?? ""), boot)
            );
        }
    },
);
