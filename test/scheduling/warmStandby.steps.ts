import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { LogEvent } from "../../src/logging";
import type { StoreFault } from "../../standins/scheduling";
import { pass, stepMs, storesOf, type World } from "./world";

interface StandbyWorld extends World {
    /** Reads of a whole prefix by the new owner before its first start request. */
    prefixReads: number;
}

Given("standbys keep copies that lag {int} ms", function(this: World, lagMs: number) {
    this.world.areStandbysDesignated = true;
    this.world.copyLagMs = lagMs;
});

Given("no standby is designated", function(this: World) {
    this.world.areStandbysDesignated = false;
});

Given("reading a whole prefix takes {int} ms longer", function(this: World, ms: number) {
    ["samphirepin/sub/", "samphirepin/run/", "workers/"].forEach((prefix) =>
        this.world.store.slowDownRange(prefix, ms)
    );
});

When("watches of {string} are told nothing new", function(this: World, prefix: string) {
    this.world.store.holdWatches(prefix);
});

When("watches are told everything", function(this: World) {
    this.world.store.holdWatches(undefined);
});

/** Lets time pass until an entry has the duty, and returns in the same millisecond. */
async function awaitOwner(world: World): Promise<string> {
    for (let waitedMs = 0; waitedMs < 6000; waitedMs++) {
        const owner = world.world.owner();
        if (owner !== undefined) {
            return owner.name;
        }
        await world.clock.advance(1);
        if (waitedMs % stepMs === 0) {
            world.world.tick();
        }
    }
    return assert.fail("no entry has the duty");
}

When("the store forgets its history when the next owner has the duty", async function(this: World) {
    await awaitOwner(this);
    this.world.store.forgetHistory();
});

When(
    "the store is {string} for the next owner for {int} ms",
    async function(this: World, fault: StoreFault, ms: number) {
        const owner = await awaitOwner(this);
        this.world.store.setFault(owner, fault);
        await pass(this, ms);
        this.world.store.setFault(owner, undefined);
    },
);

function lastOf<K extends LogEvent["kind"]>(world: World, kind: K): Extract<LogEvent, { kind: K; }> {
    const events = world.world.owner()?.log.filter((event) => event.kind === kind) ?? [];
    const last = events.at(-1);
    assert.ok(last, `no ${kind} event`);
    return last as Extract<LogEvent, { kind: K; }>;
}

Then("the new owner began with {}", function(this: World, source: string) {
    const tenures = this.world.events().filter((event) => event.kind === "duty" && event.change === "gained");
    assert.equal(tenures.length, 2);
    const loaded = lastOf(this, "stateLoaded");
    assert.equal(loaded.source, source === "its copy" ? "copy" : "store", JSON.stringify(loaded));
});

When("the next owner sends its first start request", async function(this: StandbyWorld) {
    const readsBefore = new Map(storesOf(this).map((name) => [name, this.world.store.rangeCalls(name)]));
    const owner = await awaitOwner(this);
    const hasStarted = () => this.world.owner()?.log.some(({ kind }) => kind === "firstStart") === true;
    for (let waitedMs = 0; !hasStarted() && waitedMs < 2000; waitedMs += stepMs) {
        await pass(this, stepMs);
    }
    this.prefixReads = this.world.store.rangeCalls(owner) - (readsBefore.get(owner) ?? 0);
});

Then(
    "the request was sent {int} to {int} ms after it had the duty, and after {int} reads of a prefix",
    function(this: StandbyWorld, fromMs: number, toMs: number, reads: number) {
        const { sinceGainedMs, waitingSubmissions } = lastOf(this, "firstStart");
        assert.ok(waitingSubmissions > 0);
        assert.ok(sinceGainedMs >= fromMs && sinceGainedMs <= toMs, `${sinceGainedMs} ms`);
        assert.equal(this.prefixReads, reads);
    },
);
