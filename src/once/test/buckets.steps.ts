import { After, Given, Then, When } from "@cucumber/cucumber";
import { type Clock, install } from "@sinonjs/fake-timers";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { createCluster } from "../../../bench/once/createCluster";
import { createGate, gatePlatform } from "../../../bench/once/createGate";
import { createFakePlatform, type FakePlatform } from "../../../standins/fakes";
import { defaultBucketSettings } from "../bucketSettings";
import type { BucketSettings } from "../bucketSettings";
import { type BucketCommitter, type ClaimResult, createBucketCommitter } from "../createBucketCommitter";
import { topics } from "../messages";

interface World {
    clock: Clock;
    platform: FakePlatform;
    settings: BucketSettings;
    committer: BucketCommitter;
    pausedCommitter: BucketCommitter;
    resume: () => void;
    granted: string[];
    results: ClaimResult[];
    tookMs: number;
}

const maxSettleMs = 60_000;
const seed = 7;
const headKey = "samphirepin/claims/0";
const holder = { boot: "boot-a", fingerprint: "work" };
/** Fixed, so that the sizes of records, and therefore the times of sealing, are the same in every run. */
const firstNumber = 1000;
/**
 * Longer than the other hashes, so that the paused committer has to seal where the other one could add one more claim.
 */
const longHashChars = 32;
let nextNumber = firstNumber;

function startClock(world: { clock: Clock; }): void {
    world.clock = install({
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"],
    });
}

After(function(this: Partial<World>) {
    this.clock?.uninstall();
});

/** Runs the clock until the promise has settled. */
async function settle<T>(world: World, promise: Promise<T>): Promise<T> {
    let isDone = false;
    void promise.then(() => isDone = true);
    for (let waitedMs = 0; !isDone && waitedMs < maxSettleMs; waitedMs++) {
        await world.clock.tickAsync(1);
    }
    assert.ok(isDone, "still waiting");
    return promise;
}

async function commit(world: World, committer: BucketCommitter, hash: string): Promise<ClaimResult> {
    const result = await settle(world, committer.commit({ ...holder, hash, number: nextNumber++ }));
    if (result.kind === "granted") {
        world.granted.push(hash);
    }
    return result;
}

Given("a bucket with {int} slots of {int} bytes and a retention of {int} hour(s)", function(
    this: World,
    slots: number,
    sealBytes: number,
    hours: number,
) {
    startClock(this);
    this.platform = createFakePlatform();
    this.settings = {
        ...defaultBucketSettings,
        slotCount: slots,
        sealThresholdBytes: sealBytes,
        retentionMs: hours * 3600_000,
    };
    this.committer = createBucketCommitter(this.platform.connect("a"), this.settings, 0);
    this.granted = [];
    nextNumber = firstNumber;
});

When("claims are committed until one is refused as {string}", async function(this: World, kind: string) {
    for (let at = 0; at < 1000; at++) {
        const result = await commit(this, this.committer, `key-${at}`);
        if (result.kind !== "granted") {
            assert.equal(result.kind, kind);
            assert.ok(this.granted.length > 20);
            return;
        }
    }
    assert.fail("no claim was refused");
});

Then("every claim committed before is still taken", async function(this: World) {
    const fresh = createBucketCommitter(this.platform.connect("fresh"), this.settings, 0);
    for (const hash of this.granted) {
        const result = await settle(this, fresh.lookup(hash, false));
        assert.equal(result.kind, "taken", hash);
    }
});

Then("no value at the platform is above {int} bytes", function(this: World, maxBytes: number) {
    this.platform.values.forEach(({ text }, key) => assert.ok(text.length <= maxBytes, `${key}: ${text.length}`));
});

When("{int} hours pass", async function(this: World, hours: number) {
    await this.clock.tickAsync(hours * 3600_000);
});

Then("a new claim is granted", async function(this: World) {
    assert.equal((await commit(this, this.committer, "a-new-key")).kind, "granted");
});

Then("the bucket has forgotten the first claim", async function(this: World) {
    const fresh = createBucketCommitter(this.platform.connect("fresh"), this.settings, 0);
    assert.equal((await settle(this, fresh.lookup("key-0", true))).kind, "free");
});

Given("a committer that commits {int} claims and is then paused", async function(this: World, count: number) {
    const gate = createGate();
    this.pausedCommitter = createBucketCommitter(gatePlatform(this.platform.connect("b"), gate), this.settings, 0);
    this.resume = () => gate.wake();
    for (let at = 0; at < count; at++) {
        await commit(this, this.pausedCommitter, `seen-${at}`);
    }
    gate.freeze();
});

When("another committer commits {int} claims", async function(this: World, count: number) {
    for (let at = 0; at < count; at++) {
        assert.equal((await commit(this, this.committer, `other-${at}`)).kind, "granted");
    }
});

When("the paused committer resumes and commits {int} claims at once", async function(this: World, count: number) {
    this.resume();
    const hashes = Array.from({ length: count }, (_, at) => `woken-${at}`.padEnd(longHashChars, "x"));
    const results = hashes.map((hash) => this.pausedCommitter.commit({ ...holder, hash, number: nextNumber++ }));
    await settle(this, Promise.all(results));
    for (const [at, result] of results.entries()) {
        this.granted.push(...(await result).kind === "granted" ? [hashes[at]!] : []);
    }
});

Given("a committer that dies between the writes of a sealed segment and of the head", async function(this: World) {
    const gate = createGate();
    const dying = createBucketCommitter(gatePlatform(this.platform.connect("b"), gate), this.settings, 0);
    this.platform.onWrite = (client, key) => client === "b" && key === `${headKey}/0` && gate.kill();
    for (let at = 0; at < 30 && !gate.isDead; at++) {
        const hash = `dying-${at}`;
        void dying.commit({ ...holder, hash, number: nextNumber++ }).then(({ kind }) =>
            kind === "granted" && this.granted.push(hash)
        );
        await this.clock.tickAsync(500);
    }
    assert.ok(gate.isDead);
});

When("{int} claims are requested within one second", async function(this: World, count: number) {
    const results: Promise<ClaimResult>[] = [];
    for (let at = 0; at < count; at++) {
        results.push(this.committer.commit({ ...holder, hash: `key-${at}`, number: nextNumber++ }));
        this.granted.push(`key-${at}`);
        await this.clock.tickAsync(1000 / count);
    }
    this.results = await settle(this, Promise.all(results));
});

Then("at most {int} writes were made", function(this: World, writes: number) {
    assert.ok(this.results.every(({ kind }) => kind === "granted"));
    assert.ok(this.platform.calls.write <= writes, `${this.platform.calls.write} writes`);
});

When("one claim is requested", async function(this: World) {
    const startedAtMs = Date.now();
    assert.equal((await commit(this, this.committer, "only")).kind, "granted");
    this.tookMs = Date.now() - startedAtMs;
});

Then("it is granted within {int} ms", function(this: World, ms: number) {
    assert.ok(this.tookMs <= ms, `${this.tookMs} ms`);
});

Then(
    "for {int} random values no claim is granted that the value might hold",
    async function(this: World, runs: number) {
        startClock(this);
        this.granted = [];
        const head = fc.record({
            boots: fc.oneof(fc.constant(["x"]), fc.jsonValue()),
            records: fc.oneof(fc.constant([["key", 0, 1, "f"]]), fc.constant([["key", 9, 1, "f"]]), fc.jsonValue()),
            sealed: fc.oneof(fc.constant([]), fc.constant([{ slot: 1, sealedAtMs: 0 }]), fc.jsonValue()),
            slotRevisions: fc.oneof(fc.constant([]), fc.jsonValue()),
        });
        const value = fc.oneof(fc.string(), fc.json(), head.map((each) => JSON.stringify(each)));
        const property = fc.asyncProperty(value, async (text) => {
            const platform = createFakePlatform();
            platform.values.set(headKey, { text, revision: 1 });
            const committer = createBucketCommitter(platform.connect("a"), defaultBucketSettings, 0);
            const result = await commit(this, committer, "key");
            const isGrantedAndAbsent = result.kind === "granted" && !text.includes("\"key\"");
            assert.ok(result.kind !== "granted" || isGrantedAndAbsent, `${result.kind} with ${text}`);
        });
        await fc.assert(property, { numRuns: runs, seed });
    },
);

Then("{int} random messages to each topic are answered without a crash, a claim or a run", async function(
    this: World,
    runs: number,
) {
    startClock(this);
    this.granted = [];
    const creating = createCluster({ entries: 2, workers: 1 });
    await this.clock.tickAsync(2000);
    const cluster = await creating;
    const peers = cluster.network.connect({
        boot: "stranger",
        instance: "stranger",
        region: "north",
        zone: "zone-a",
        peerUrl: "ws://stranger",
    });
    const writes = cluster.platform.calls.write;
    const field = fc.oneof(fc.jsonValue(), fc.string(), fc.integer(), fc.constant("boot-0"));
    const message = fc.oneof(
        fc.jsonValue(),
        fc.record({ hash: field, boot: field, number: field, fingerprint: field, isFresh: field }, {
            requiredKeys: [],
        }),
        fc.record({ id: field, team: field, idempotencyKey: field, payload: field, remainingMs: field, waitMs: field }),
    );
    const property = fc.asyncProperty(fc.constantFrom(...Object.values(topics)), message, async (topic, body) => {
        const isClaim = typeof (body as { fingerprint?: unknown; } | undefined)?.fingerprint === "string";
        peers.send("boot-0", topic, body);
        const asked = peers.request("boot-0", topic, body, 50);
        await this.clock.tickAsync(60);
        await asked;
        return isClaim || cluster.workers.starts.length === 0;
    });
    await fc.assert(property, { numRuns: runs, seed });
    assert.equal(cluster.workers.starts.length, 0);
    assert.ok(cluster.platform.calls.write - writes < runs / 10);
    const { runs: remembered } = cluster.entries[0]!.core.once.counts();
    assert.equal(remembered, 0);
});
