import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    callHttp,
    type EntryProcess,
    type Fleet,
    type Forwarder,
    startFleet,
    startForwarder,
} from "../../standins/processes";

interface World {
    fleet: Fleet;
    forwarder: Forwarder | undefined;
    started: EntryProcess;
    revision: number;
    addedAtMs: number;
    attach(text: string, mediaType: string): void;
}

setDefaultTimeout(60_000);

After(async function(this: World) {
    this.fleet.entries.forEach(({ process }) => process.kill("SIGCONT"));
    await this.fleet.stop();
    await this.forwarder?.stop();
});

function entry(world: World, at: number): EntryProcess {
    return world.fleet.entries[at] ?? assert.fail(`no entry ${at}`);
}

async function askInForce(world: World, at: EntryProcess, waitMs: number) {
    const path = `/operator/revisions/${world.revision}?waitMs=${waitMs}`;
    const answer = await world.fleet.operate(at, "GET", path);
    assert.equal(answer.status, 200, JSON.stringify(answer.body));
    return answer.body as { everywhere: boolean; confirmed: string[]; missing: { instance: string; }[]; };
}

Given("4 entries, the third by a path to the platform that can be cut", async function(this: World) {
    this.fleet = await startFleet({ workerZones: [], entryZones: ["zone-a", "zone-b"] });
    this.forwarder = await startForwarder(this.fleet.platform.url);
    await this.fleet.startEntry("zone-c", { "platform-url": this.forwarder.url });
    await this.fleet.startEntry("zone-c");
    await this.fleet.carryOut(entry(this, 0), { pools: [{ name: "stalls", maxUnavailable: 1 }] });
    this.revision = 1;
    assert.ok((await askInForce(this, entry(this, 0), 20_000)).everywhere);
});

Given("1 entry", async function(this: World) {
    this.fleet = await startFleet({ workerZones: [], entryZones: ["zone-a"] });
});

When("the third is cut off from the platform and the fourth is frozen", function(this: World) {
    this.forwarder?.cut();
    entry(this, 3).process.kill("SIGSTOP");
});

When("a pool is added at the first", async function(this: World) {
    const done = await this.fleet.carryOut(entry(this, 0), { pools: [{ name: "vets", maxUnavailable: 1 }] });
    this.revision = (done as { revision: number; }).revision;
    this.addedAtMs = performance.now();
});

When("the fourth is woken", function(this: World) {
    entry(this, 3).process.kill("SIGCONT");
    this.addedAtMs = performance.now();
});

When("the platform is down and an entry starts with the first as its seed", async function(this: World) {
    await callHttp("POST", `${this.fleet.platform.url}/control`, undefined, { faults: { isDown: true } });
    const records = await this.fleet.operate(entry(this, 0), "GET", "/operator/entries");
    const seed = (records.body as { peerUrl: string; instance: string; }[]).find(({ instance }) =>
        instance === "entry-1"
    );
    this.started = await this.fleet.startEntry("zone-a", { "seed-peers": seed?.peerUrl ?? "" });
    this.addedAtMs = performance.now();
});

Then("within {int} ms only the fourth has not confirmed it", async function(this: World, ms: number) {
    let missing: string[] = [];
    do {
        missing = (await askInForce(this, entry(this, 0), 20)).missing.map(({ instance }) => instance);
    }
    while (missing.join() !== "entry-4" && performance.now() - this.addedAtMs < ms);
    assert.deepEqual(missing, ["entry-4"]);
    this.attach(`confirmed by the others after ${Math.round(performance.now() - this.addedAtMs)} ms`, "text/plain");
});

Then("it is in force everywhere within {int} ms", async function(this: World, ms: number) {
    assert.ok((await askInForce(this, entry(this, 0), ms)).everywhere);
    this.attach(`everywhere after ${Math.round(performance.now() - this.addedAtMs)} ms`, "text/plain");
});

Then("the new entry is ready and at the same revision within {int} ms", async function(this: World, ms: number) {
    let ready = await callHttp("GET", `${this.started.url}/ready`);
    while (ready.status !== 200 && performance.now() - this.addedAtMs < ms) {
        await new Promise((resolve) => setTimeout(resolve, 20));
        ready = await callHttp("GET", `${this.started.url}/ready`);
    }
    assert.equal(ready.status, 200);
    const state = await this.fleet.operate(this.started, "GET", "/operator/state");
    assert.equal(state.body.revision, this.revision);
    this.attach(`ready after ${Math.round(performance.now() - this.addedAtMs)} ms`, "text/plain");
});
