import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { type Clock, install } from "@sinonjs/fake-timers";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createFakeNetwork, createFakePlatform, type FakeNetwork, type FakePlatform } from "../../../standins/fakes";
import { createKeyWatcher, type KeyWatcher } from "../../platform";
import { createMembers, type Members } from "../index";

interface Entry {
    readonly boot: string;
    readonly members: Members;
    readonly watcher: KeyWatcher;
}

interface World {
    clock: Clock;
    platform: FakePlatform;
    network: FakeNetwork;
    entries: Map<string, Entry>;
}

const key = "samphirepin/followed/entries";

Before(function(this: World) {
    this.clock = install();
    this.platform = createFakePlatform();
    this.network = createFakeNetwork();
    this.entries = new Map();
});

After(function(this: World) {
    this.clock.uninstall();
});

async function startEntry(world: World, name: string, run = 1, zone = "zone-1"): Promise<Entry> {
    const boot = `${name}-${run}`;
    const peers = world.network.connect({ boot, instance: name, region: "north", zone, peerUrl: `ws://${name}` });
    const platform = world.platform.connect(boot);
    const watcher = createKeyWatcher({ platform, watchMs: 20_000, retryMs: 100 });
    const members = createMembers({ platform, watcher, peers, retryMs: 100, listMs: 10_000 });
    const entry = { boot, members, watcher };
    world.entries.set(name, entry);
    watcher.start();
    members.start();
    await world.clock.tickAsync(3000);
    return entry;
}

function findEntry(world: World, name: string): Entry {
    return world.entries.get(name) ?? assert.fail(`no entry ${name}`);
}

function kill(world: World, name: string): void {
    const { boot } = findEntry(world, name);
    world.network.remove(boot);
    world.platform.cutOff.add(boot);
}

Given("entries {string} and {string} are recorded and listed", async function(this: World, a: string, b: string) {
    for (const name of [a, b]) {
        this.platform.instances.set(name, "live");
        await startEntry(this, name);
    }
    await this.clock.tickAsync(30_000);
});

Given("{int} entries in {int} zones", async function(this: World, count: number, zones: number) {
    for (let index = 0; index < count; index++) {
        this.platform.instances.set(`entry-${index}`, "live");
    }
    for (let index = 0; index < count; index++) {
        await startEntry(this, `entry-${index}`, 1, `zone-${index % zones}`);
    }
    this.platform.calls.list = 0;
});

When("{string} is frozen for {int} s", async function(this: World, name: string, seconds: number) {
    const { boot } = findEntry(this, name);
    this.network.frozen.add(boot);
    this.platform.cutOff.add(boot);
    await this.clock.tickAsync(seconds * 1000);
});

When("{string} is killed and its instance leaves the instance list", function(this: World, name: string) {
    kill(this, name);
    this.platform.instances.delete(name);
});

When("{string} is killed and restarts at its address", async function(this: World, name: string) {
    kill(this, name);
    await startEntry(this, name, 2);
});

When("entry {string} starts and is not listed", async function(this: World, name: string) {
    await startEntry(this, name);
});

When("one answer of the instance list lacks {string}", async function(this: World, name: string) {
    this.platform.instances.delete(name);
    await this.clock.tickAsync(10_500);
    this.platform.instances.set(name, "live");
});

When("{string} shuts down while another writer changes the record", async function(this: World, name: string) {
    const stored = this.platform.values.get(key)!;
    const stopped = findEntry(this, name).members.stop();
    this.clock.setTimeout(() => this.platform.values.set(key, { ...stored, revision: stored.revision + 1 }), 2);
    await this.clock.tickAsync(2000);
    await stopped;
    kill(this, name);
});

When(
    "entry {string} starts and the platform is restored to the previous record",
    async function(this: World, name: string) {
        const before = this.platform.values.get(key)!;
        await startEntry(this, name);
        this.platform.values.set(key, before);
    },
);

When("the record is overwritten with any of {int} malformed values", async function(this: World, count: number) {
    const values = fc.sample(fc.oneof(fc.json(), fc.string(), fc.constant("{\"serial\":9e9,\"members\":[{}]}")), {
        numRuns: count,
        seed: 1,
    });
    for (const text of values) {
        const revision = this.platform.values.get(key)!.revision + 1;
        this.platform.values.set(key, { text, revision });
        findEntry(this, "a").watcher.observe(key, { text, revision });
    }
    await this.clock.tickAsync(60_000);
});

When("{int} s pass", async function(this: World, seconds: number) {
    await this.clock.tickAsync(seconds * 1000);
});

Then("{string} has ended according to {string}", function(this: World, ended: string, observer: string) {
    assert.equal(findEntry(this, observer).members.hasEnded(findEntry(this, ended).boot), true);
});

Then("{string} has not ended according to {string}", function(this: World, ended: string, observer: string) {
    const { members } = findEntry(this, observer);
    assert.equal(members.hasEnded(findEntry(this, ended).boot), false);
    assert.ok(members.recorded()?.some(({ instance }) => instance === ended));
});

Then(
    "the earlier boot of {string} has ended according to {string}",
    function(this: World, name: string, observer: string) {
        assert.equal(findEntry(this, observer).members.hasEnded(`${name}-1`), true);
        assert.equal(findEntry(this, observer).members.hasEnded(`${name}-2`), false);
    },
);

Then("the platform's record holds {string}", function(this: World, names: string) {
    const { members } = JSON.parse(this.platform.values.get(key)!.text) as { members: { instance: string; }[]; };
    assert.equal(members.map(({ instance }) => instance).sort().join(", "), names);
});

Then(
    "{string} can prove that {string} has ended, and not that {string} has",
    async function(this: World, observer: string, a: string, b: string) {
        const proof = findEntry(this, observer).members.proveEnded([`${a}-1`, `${b}-1`]);
        await this.clock.tickAsync(1000);
        assert.deepEqual([...await proof ?? []], [`${a}-1`]);
    },
);

Then("the instance list was read between {int} and {int} times", function(this: World, least: number, most: number) {
    const { list } = this.platform.calls;
    assert.ok(list >= least && list <= most, `read ${list} times`);
});

Then("every entry has the listed instances", function(this: World) {
    for (const { members } of this.entries.values()) {
        assert.deepEqual([...members.instances()!.keys()].sort(), [...this.platform.instances.keys()].sort());
    }
});
