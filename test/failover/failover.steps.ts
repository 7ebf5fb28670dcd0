import { After, Before, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { StoreFault } from "../../standins/scheduling";
import {
    addEntry,
    countTakeovers,
    createWorld,
    cutLink,
    find,
    interrupters,
    leaderOf,
    pass,
    type World,
} from "./world";

setDefaultTimeout(200_000);

/** Entries, the strongest first. */
const boots = ["a1", "b1", "c1", "b2", "c2", "a2"];

Before(function(this: World) {
    Object.assign(this, createWorld());
});

After(function(this: World) {
    this.entries.forEach((entry) => entry.kill());
    this.clock.uninstall();
});

async function begin(world: World, names: readonly string[], old: string): Promise<void> {
    for (const [at, boot] of names.entries()) {
        addEntry(world, boot, 1.3 - at / 20, old.includes(boot));
        await pass(world, 50);
    }
    await pass(world, 6000);
    const leader = leaderOf(world);
    assert.equal(leader?.self.boot, names[0]);
    world.former = find(world, names[0] ?? "");
}

Given("two entries in each of three zones, led by a1", async function(this: World) {
    await begin(this, boots, "");
});

Given("such a fleet, in which {word} runs an old build", async function(this: World, old: string) {
    await begin(this, boots, old);
});

Given("three entries in one zone, led by a1", async function(this: World) {
    await begin(this, ["a1", "a2", "a3"], "");
});

When("{word} joins with an old build", function(this: World, boot: string) {
    addEntry(this, boot, 1, true);
});

When(
    /^(\w+) sends (\w+) the message "(\w+)" with the body (.+)$/,
    async function(this: World, from: string, to: string, topic: string, body: string) {
        find(this, from).peers.send(to, topic, JSON.parse(body));
        // An exception of a handler is thrown here.
        await pass(this, 50);
    },
);

When(
    /^(\w+) asks (\w+) for "(\w+)" with the body (.+)$/,
    async function(this: World, from: string, to: string, topic: string, body: string) {
        const asking = find(this, from).peers.request(to, topic, JSON.parse(body), 1000);
        await pass(this, 50);
        this.answer = (await asking).orDefault(undefined);
    },
);

Then(/^the answer is (\{.*\})$/, function(this: World, answer: string) {
    assert.deepEqual(this.answer, JSON.parse(answer));
});

When("another writer leaves records among those of the entries", async function(this: World) {
    const plain = { boot: "x1", instance: "x1", region: "north", zone: "x", peerUrl: "ws://x1", strength: 1 };
    const texts = [
        "no JSON",
        "null",
        "7",
        "[".repeat(100_000),
        JSON.stringify({ ...plain, zone: 7 }),
        JSON.stringify({ ...plain, peerUrl: "ws://10.1.2.3:70000" }),
        JSON.stringify({ ...plain, peerUrl: "ws://10.1.2.3:7000/#part" }),
        JSON.stringify(plain).replace(/"strength":1/, "\"strength\":1e400"),
    ];
    const puts = texts.map((text, at) => ({ key: `samphirepin/live/peer/odd-${at}`, text }));
    void this.store.connect("other").commit({ conditions: [], puts, deletes: [] });
    await pass(this, 100);
    for (const { failover } of this.entries.values()) {
        assert.ok(failover.standbys().every((boot) => this.entries.has(boot)));
    }
});

When("the leader is killed", function(this: World) {
    this.former.kill();
});

When("the leader is suspended for {int} ms", async function(this: World, ms: number) {
    this.former.suspend();
    await pass(this, ms);
    this.former.resume();
});

When("messages between entries take {int} ms", async function(this: World, ms: number) {
    this.network.delayMs = ms;
    await pass(this, 1000);
});

When(
    "the leader is suspended for {int} ms while an acknowledgement is on its way",
    async function(this: World, ms: number) {
        const standby = find(this, "b1");
        const beforeMs = standby.sentAtMs;
        while (standby.sentAtMs === beforeMs) {
            await pass(this, 10);
        }
        this.former.suspend();
        await pass(this, ms);
        this.former.resume();
        this.mayInterruptOnResume = this.former.election.tenure()?.mayInterrupt() === true;
    },
);

When("the leader's watch is silent", function(this: World) {
    this.former.silenceWatch();
});

When("zone {word} is cut off from the others", function(this: World, zone: string) {
    for (const one of boots.filter((boot) => boot.startsWith(zone))) {
        boots.filter((boot) => !boot.startsWith(zone)).forEach((other) => cutLink(this, one, other));
    }
});

When("the links of zone {word} to the others are silent", function(this: World, zone: string) {
    for (const one of boots.filter((boot) => boot.startsWith(zone))) {
        for (const other of boots.filter((boot) => !boot.startsWith(zone))) {
            this.network.silences.add(`${one}>${other}`).add(`${other}>${one}`);
        }
    }
});

When("the entries of zones b and c are killed", function(this: World) {
    ["b1", "b2", "c1", "c2"].forEach((boot) => find(this, boot).kill());
});

When("the store is {string} for {word}", function(this: World, fault: StoreFault, zoneOrBoot: string) {
    const affected = boots.filter((boot) => zoneOrBoot === "all" || boot.startsWith(zoneOrBoot));
    affected.forEach((boot) => this.store.setFault(boot, fault));
});

When("the store answers in {int} ms", function(this: World, ms: number) {
    this.store.setAnswerMs(ms);
});

When("the link of {word} and {word} is silent", function(this: World, one: string, other: string) {
    cutLink(this, one, other);
});

When("{int} ms pass", async function(this: World, ms: number) {
    await pass(this, ms);
});

When("{int} minutes pass", async function(this: World, minutes: number) {
    await pass(this, minutes * 60_000);
});

When("b1, again b1, and c1 take over at the same moment", async function(this: World) {
    const term = { boot: "a1", token: this.former.election.tenure()?.token ?? 0 };
    const takeovers = ["b1", "b1", "c1"].map((boot) => find(this, boot).election.takeOver(term, () => true));
    await pass(this, 100);
    this.outcomes = await Promise.all(takeovers);
});

When("the former leader resigns", async function(this: World) {
    void this.former.election.resign();
    await pass(this, 100);
});

Then("{word} leads after {int} to {int} ms", async function(this: World, boot: string, least: number, most: number) {
    await pass(this, least, () => assert.equal(leaderOf(this)?.self.boot ?? "nobody", this.former.self.boot));
    await pass(this, most - least, () => assert.ok(interrupters(this).length <= 1));
    assert.equal(leaderOf(this)?.self.boot, boot);
    assert.ok(find(this, boot).election.tenure()?.isValid());
});

Then("{word} leads", function(this: World, boot: string) {
    assert.equal(leaderOf(this)?.self.boot, boot);
    assert.ok(find(this, boot).election.tenure()?.isValid());
});

Then("an entry other than a1 leads", function(this: World) {
    const leader = leaderOf(this);
    assert.ok(leader !== undefined && leader !== this.former && leader.election.tenure()?.isValid() === true);
});

Then("the outcomes are {string}", function(this: World, outcomes: string) {
    assert.equal([...this.outcomes].sort().join(", "), outcomes);
});

Then("no entry has taken over on evidence", function(this: World) {
    assert.equal(countTakeovers(this), 0);
});

Then("leadership has changed {int} time(s) on evidence", function(this: World, count: number) {
    assert.equal(countTakeovers(this), count);
});

Then("the former leader may not interrupt tasks", function(this: World) {
    assert.notEqual(this.former.election.tenure()?.mayInterrupt(), true);
});

Then("the former leader may not interrupt tasks as soon as it resumes", function(this: World) {
    assert.equal(this.mayInterruptOnResume, false);
});

Then("a1 may interrupt tasks", function(this: World) {
    assert.equal(this.former.election.tenure()?.mayInterrupt(), true);
});

Then("the former leader does not take itself for the leader", function(this: World) {
    assert.notEqual(this.former.election.tenure()?.isValid(), true);
});

Then("{word} counts on requests of its predecessor for as long as it may send them", async function(
    this: World,
    boot: string,
) {
    const untilMs = find(this, boot).election.tenure()?.formerLeaderUntilMs ?? 0;
    let lastValidMs = 0;
    await pass(this, 4000, () => {
        lastValidMs = this.former.election.tenure()?.isValid() === true ? performance.now() : lastValidMs;
    });
    assert.ok(lastValidMs < untilMs, `${lastValidMs} ${untilMs}`);
});

Then("the order of standbys is {string}", function(this: World, order: string) {
    for (const { isUp, failover } of this.entries.values()) {
        assert.ok(!isUp || failover.standbys().join(" ") === order, failover.standbys().join(" "));
    }
});

Then("only {word} is the designated standby", function(this: World, boot: string) {
    const designated = [...this.entries.values()].filter(({ failover }) => failover.isDesignatedStandby());
    assert.deepEqual(designated.map(({ self }) => self.boot), [boot]);
});
