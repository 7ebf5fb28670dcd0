import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import { createFakeStore, type FakeStore, type StoreFault } from "../../../standins/scheduling";
import { createFollower } from "../../store";
import {
    type Candidate,
    createDuty,
    type Duty,
    dutyKey,
    measureStrength,
    rankCandidates,
    type Standing,
} from "../index";

interface Entry {
    readonly name: string;
    readonly duty: Duty;
    isKilled: boolean;
    stop(): void;
}

interface World {
    clock: Clock;
    store: FakeStore;
    entries: Entry[];
    suspendedMs: number;
    areSlow: boolean;
    gains: number;
    tokenBefore: number;
    formerHolder: string;
    formerToken: number;
    candidates: readonly Candidate[];
}

Before(function(this: World) {
    this.clock = installClock();
    this.store = createFakeStore();
    this.entries = [];
    this.suspendedMs = 0;
    this.areSlow = false;
    this.gains = 0;
});

After(function(this: World) {
    this.entries.forEach((entry) => entry.stop());
    this.clock.uninstall();
});

function addEntry(world: World, name: string, rank: number): void {
    const store = world.store.connect(name);
    const clocks = {
        steadyMs: () => performance.now(),
        suspendAwareMs: () => performance.now() + world.suspendedMs,
    };
    const duty = createDuty({
        store,
        clocks,
        holder: { boot: name, instance: name },
        report() {},
        minTtlMs: 1000,
        fitness: () => world.areSlow ? "slow" : "fit",
        onGained() {
            world.gains++;
        },
        onLost() {},
    });
    const follower = createFollower({
        store,
        prefix: dutyKey,
        waitMs: 1000,
        pauseMs: 0,
        nowMs: clocks.steadyMs,
        onItem() {},
        onBatch: () => duty.noteHolder(follower.items.get(dutyKey)),
    });
    duty.noteStanding({ rank, muchStronger: undefined });
    follower.start();
    duty.start();
    const entry: Entry = {
        name,
        duty,
        isKilled: false,
        stop() {
            entry.isKilled = true;
            duty.stop();
            follower.stop();
        },
    };
    world.entries.push(entry);
}

function holders(world: World): readonly Entry[] {
    return world.entries.filter(({ duty, isKilled }) => !isKilled && duty.tenure()?.isValid() === true);
}

function holderOf(world: World): Entry {
    const [holder] = holders(world);
    assert.ok(holder);
    world.tokenBefore = holder.duty.tenure()?.token ?? 0;
    return holder;
}

async function pass(world: World, ms: number): Promise<void> {
    for (let at = 0; at < ms; at += 20) {
        await world.clock.advance(20);
        world.store.expireLeases();
    }
}

Given("{int} entry/entries", function(this: World, count: number) {
    Array.from({ length: count }, (_, at) => addEntry(this, `entry-${at + 1}`, at));
});

When("{int} ms pass", async function(this: World, ms: number) {
    await pass(this, ms);
});

When("the holder is killed", function(this: World) {
    holderOf(this).stop();
});

When("every entry is slow from now on", function(this: World) {
    this.areSlow = true;
});

Then("the duty was gained {int} times at most", function(this: World, most: number) {
    assert.ok(this.gains <= most, String(this.gains));
});

When("the holder hands over", function(this: World) {
    const holder = holderOf(this);
    holder.isKilled = true;
    void holder.duty.handOver();
});

When("the store is {string} for the holder", function(this: World, fault: StoreFault) {
    this.store.setFault(holderOf(this).name, fault);
});

When("the store is away for {int} ms and leases pause", async function(this: World, ms: number) {
    holderOf(this);
    this.store.pauseLeases(ms);
    this.entries.forEach(({ name }) => this.store.setFault(name, "silent"));
    await pass(this, ms);
    assert.equal(holders(this).length, 0);
    this.entries.forEach(({ name }) => this.store.setFault(name, undefined));
});

When("the machine is suspended for {int} ms", function(this: World, ms: number) {
    this.suspendedMs += ms;
});

Then("{int} entry holds the duty", function(this: World, count: number) {
    assert.equal(holders(this).length, count);
});

Then("no entry holds the duty", function(this: World) {
    assert.equal(holders(this).length, 0);
});

Then("its token is higher than before", function(this: World) {
    assert.ok((holders(this)[0]?.duty.tenure()?.token ?? 0) > this.tokenBefore);
});

Then("at no time within {int} ms do two entries hold the duty", async function(this: World, ms: number) {
    for (let at = 0; at < ms; at += 20) {
        await pass(this, 20);
        assert.ok(holders(this).length <= 1);
    }
    assert.equal(holders(this).length, 1);
});

When("the holder learns that the other one is far stronger", function(this: World) {
    const holder = this.entries.find(({ duty }) => duty.tenure() !== undefined);
    const other = this.entries.find((entry) => entry !== holder);
    assert.ok(holder);
    this.formerHolder = holder.name;
    this.formerToken = holder.duty.tenure()?.token ?? 0;
    other?.duty.noteStanding({ rank: 0, muchStronger: undefined });
    holder.duty.noteStanding({ rank: 1, muchStronger: other?.name ?? "somebody" });
});

Then("the other one holds the duty", function(this: World) {
    const holder = this.entries.find(({ duty }) => duty.tenure() !== undefined);
    assert.ok(holder !== undefined && holder.name !== this.formerHolder, holder?.name ?? "nobody");
});

Then("it has held it for {int} ms", async function(this: World, ms: number) {
    const [holder] = this.entries;
    const token = holder?.duty.tenure()?.token;
    assert.ok(token !== undefined && token > this.formerToken);
    await pass(this, ms);
    assert.equal(holder?.duty.tenure()?.token, token);
});

Given(
    "entries with cores {string} and links of {string} megabits a second",
    function(this: World, cores: string, mbps: string) {
        const links = mbps.split(", ").map(Number);
        this.candidates = cores.split(", ").map((each, at) => ({
            boot: "abc"[at] ?? "",
            instance: "abc"[at] ?? "",
            region: "north",
            zone: "zone-a",
            peerUrl: "",
            strength: measureStrength(Number(each), links[at] ?? 0),
        }));
    },
);

function standingOf(world: World, boot: string): Standing {
    const self = world.candidates.find((each) => each.boot === boot);
    assert.ok(self);
    return rankCandidates(self, world.candidates.filter((each) => each !== self));
}

Then("the order in which they apply is {string}", function(this: World, order: string) {
    const sorted = ["a", "b", "c"].sort((a, b) => standingOf(this, a).rank - standingOf(this, b).rank);
    assert.equal(sorted.join(", "), order);
});

Then("the first one {word} the duty to the strongest", function(this: World, word: string) {
    assert.equal(standingOf(this, "a").muchStronger !== undefined, word === "gives");
});
