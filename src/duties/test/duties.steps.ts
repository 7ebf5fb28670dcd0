import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import { createFakeStore, type FakeStore, type StoreFault } from "../../../standins/scheduling";
import { createPrefixWatcher } from "../../store";
import {
    type Candidate,
    computeStrength,
    createLeaderElection,
    type LeaderElection,
    leaderKey,
    rankCandidates,
    type Ranking,
} from "../index";

interface Entry {
    readonly name: string;
    readonly election: LeaderElection;
    isKilled: boolean;
    stop(): void;
}

interface World {
    clock: Clock;
    store: FakeStore;
    entries: Entry[];
    suspendedMs: number;
    areEntriesSlow: boolean;
    gains: number;
    tokenBefore: number;
    formerLeader: string;
    formerToken: number;
    candidates: readonly Candidate[];
}

Before(function(this: World) {
    this.clock = installClock();
    this.store = createFakeStore();
    this.entries = [];
    this.suspendedMs = 0;
    this.areEntriesSlow = false;
    this.gains = 0;
});

After(function(this: World) {
    this.entries.forEach((entry) => entry.stop());
    this.clock.uninstall();
});

function addEntry(world: World, name: string, rank: number): void {
    const store = world.store.connect(name);
    const clocks = {
        monotonicMs: () => performance.now(),
        suspendAwareMs: () => performance.now() + world.suspendedMs,
    };
    const election = createLeaderElection({
        store,
        clocks,
        holder: { boot: name, instance: name },
        report() {},
        minTtlMs: 1000,
        fitness: () => world.areEntriesSlow ? "slow" : "fit",
        onGained() {
            world.gains++;
        },
        onLost() {},
    });
    const watcher = createPrefixWatcher({
        store,
        prefix: leaderKey,
        waitMs: 1000,
        pauseMs: 0,
        nowMs: clocks.monotonicMs,
        onItem() {},
        onBatch: () => election.updateLeader(watcher.items.get(leaderKey)),
    });
    election.updateRanking({ rank, strongerLeader: undefined });
    watcher.start();
    election.start();
    const entry: Entry = {
        name,
        election,
        isKilled: false,
        stop() {
            entry.isKilled = true;
            election.stop();
            watcher.stop();
        },
    };
    world.entries.push(entry);
}

function leaders(world: World): readonly Entry[] {
    return world.entries.filter(({ election, isKilled }) => !isKilled && election.tenure()?.isValid() === true);
}

function leaderOf(world: World): Entry {
    const [leader] = leaders(world);
    assert.ok(leader);
    world.tokenBefore = leader.election.tenure()?.token ?? 0;
    return leader;
}

async function advance(world: World, ms: number): Promise<void> {
    for (let at = 0; at < ms; at += 20) {
        await world.clock.advance(20);
        world.store.expireLeases();
    }
}

Given("{int} entry/entries", function(this: World, count: number) {
    Array.from({ length: count }, (_, at) => addEntry(this, `entry-${at + 1}`, at));
});

When("{int} ms pass", async function(this: World, ms: number) {
    await advance(this, ms);
});

When("the leader is killed", function(this: World) {
    leaderOf(this).stop();
});

When("every entry is slow from then on", function(this: World) {
    this.areEntriesSlow = true;
});

Then("leadership was gained {int} times at most", function(this: World, most: number) {
    assert.ok(this.gains <= most, String(this.gains));
});

When("the leader resigns", function(this: World) {
    const leader = leaderOf(this);
    leader.isKilled = true;
    void leader.election.resign();
});

When("the store is {string} for the leader", function(this: World, fault: StoreFault) {
    this.store.setFault(leaderOf(this).name, fault);
});

When("the store is unavailable for {int} ms and leases pause", async function(this: World, ms: number) {
    leaderOf(this);
    this.store.pauseLeases(ms);
    this.entries.forEach(({ name }) => this.store.setFault(name, "silent"));
    await advance(this, ms);
    assert.equal(leaders(this).length, 0);
    this.entries.forEach(({ name }) => this.store.setFault(name, undefined));
});

When("the machine is suspended for {int} ms", function(this: World, ms: number) {
    this.suspendedMs += ms;
});

Then("{int} entry is leader", function(this: World, count: number) {
    assert.equal(leaders(this).length, count);
});

Then("no entry is leader", function(this: World) {
    assert.equal(leaders(this).length, 0);
});

Then("its token is higher than before", function(this: World) {
    assert.ok((leaders(this)[0]?.election.tenure()?.token ?? 0) > this.tokenBefore);
});

Then("at no time within {int} ms are two entries leader", async function(this: World, ms: number) {
    for (let at = 0; at < ms; at += 20) {
        await advance(this, 20);
        assert.ok(leaders(this).length <= 1);
    }
    assert.equal(leaders(this).length, 1);
});

When("the leader learns that the other one is far stronger", function(this: World) {
    const leader = this.entries.find(({ election }) => election.tenure() !== undefined);
    const other = this.entries.find((entry) => entry !== leader);
    assert.ok(leader);
    this.formerLeader = leader.name;
    this.formerToken = leader.election.tenure()?.token ?? 0;
    other?.election.updateRanking({ rank: 0, strongerLeader: undefined });
    leader.election.updateRanking({ rank: 1, strongerLeader: other?.name ?? "somebody" });
});

Then("the other one is leader", function(this: World) {
    const leader = this.entries.find(({ election }) => election.tenure() !== undefined);
    assert.ok(leader !== undefined && leader.name !== this.formerLeader, leader?.name ?? "nobody");
});

Then("it stays leader for {int} ms", async function(this: World, ms: number) {
    const [leader] = this.entries;
    const token = leader?.election.tenure()?.token;
    assert.ok(token !== undefined && token > this.formerToken);
    await advance(this, ms);
    assert.equal(leader?.election.tenure()?.token, token);
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
            strength: computeStrength(Number(each), links[at] ?? 0),
        }));
    },
);

function rankingOf(world: World, boot: string): Ranking {
    const self = world.candidates.find((each) => each.boot === boot);
    assert.ok(self);
    return rankCandidates(self, world.candidates.filter((each) => each !== self));
}

Then("the order in which they campaign is {string}", function(this: World, order: string) {
    const sorted = ["a", "b", "c"].sort((a, b) => rankingOf(this, a).rank - rankingOf(this, b).rank);
    assert.equal(sorted.join(", "), order);
});

Then("as leader, the first one {word}", function(this: World, action: string) {
    assert.equal(rankingOf(this, "a").strongerLeader !== undefined, action === "resigns");
});
