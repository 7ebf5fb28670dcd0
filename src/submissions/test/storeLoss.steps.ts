import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Clock } from "../../../standins/dispatch";
import { type FakeStore, plainPolicy, plainStep } from "../../../standins/scheduling";
import { createAdmission } from "../../admission";
import { createStoreHealth } from "../../store";
import {
    createLoadCheck,
    createRecordWriter,
    createSubmissionApi,
    type RecordWriter,
    type SubmissionApi,
    submissionKey,
} from "../index";

interface World {
    clock: Clock;
    store: FakeStore;
    observedApi: SubmissionApi;
    outcomes: string[];
    submitted: string[];
    isLossKnown: boolean;
}

Before(function(this: World) {
    this.outcomes = [];
    this.submitted = [];
    this.isLossKnown = true;
});

function contextOf(id: string) {
    return { requestId: id, host: "stalls.example", path: `/stalls/${id}`, key: "key-1", timeoutMs: 3000 };
}

function submitAsClient(world: World): void {
    const id = world.submitted.length.toString(16).padStart(16, "0");
    world.submitted.push(id);
    sendSubmission(world, id);
}

function sendSubmission(world: World, id: string): void {
    const schedule = { repeats: 0, startAtMs: 0, intervalMs: 0 };
    void world.observedApi.accept(contextOf(id), { id, payload: "", steps: [plainStep], schedule })
        .then(({ kind }) => world.outcomes.push(kind));
}

Given("an entry that observes the store", function(this: World) {
    const client = this.store.connect("entry-1");
    const steadyMs = () => performance.now();
    const health = createStoreHealth({
        probe: () => client.read("probe"),
        probePeers: () => Promise.resolve(false),
        relayedAtMs: () => Number.NEGATIVE_INFINITY,
        nowMs: steadyMs,
        onLost: () => writer.abandonAll("lost"),
    });
    const store = health.observe(client);
    const writer: RecordWriter = createRecordWriter(store, steadyMs, health.isLost);
    this.observedApi = createSubmissionApi({
        policySource: {
            policy: () => plainPolicy,
            ageMs: () => 100,
            confirm: () => Promise.resolve(),
            isStoreLost: () => this.isLossKnown && health.isLost(),
        },
        store,
        writer,
        leader: { findState: () => Promise.resolve(undefined), countPending: () => Promise.resolve(undefined) },
        cancelBudget: { spend: () => 0 },
        loadCheck: createLoadCheck({
            admission: createAdmission(() => 0),
            store,
            isStoreSlow: health.isSlow,
            report() {},
            nowMs: steadyMs,
        }),
        report() {},
        steadyMs,
        revokeMs: 5000,
        configApplyMs: 2000,
    });
});

Given(/^its requests are checked (before|after) the loss$/, function(this: World, check: string) {
    this.isLossKnown = check === "after";
});

Given("the store takes {int} ms for each call", function(this: World, ms: number) {
    this.store.setAnswerMs(ms);
});

When(/^(\d+) clients? submits?, and (\d+) ms pass(?:es)?$/, async function(this: World, count: string, ms: string) {
    this.outcomes = [];
    Array.from({ length: Number(count) }, () => submitAsClient(this));
    await this.clock.advance(Number(ms));
});

When("the same client submits again, and {int} ms passes", async function(this: World, ms: number) {
    this.outcomes = [];
    const id = this.submitted.at(-1);
    assert.ok(id !== undefined);
    sendSubmission(this, id);
    await this.clock.advance(ms);
});

When(
    "{int} clients submit in {int} ms, and {int} ms pass",
    async function(this: World, count: number, inMs: number, ms: number) {
        for (let sent = 0; sent < count; sent++) {
            submitAsClient(this);
            await this.clock.advance(inMs / count);
        }
        await this.clock.advance(ms);
    },
);

When("a client cancels, and {int} ms passes", async function(this: World, ms: number) {
    this.outcomes = [];
    const id = "00000000000000ff";
    void this.observedApi.cancel(contextOf(id), id).then(({ kind }) => this.outcomes.push(kind));
    await this.clock.advance(ms);
});

When("the store answers again, and {int} ms pass", async function(this: World, ms: number) {
    this.store.setFault("entry-1", undefined);
    await this.clock.advance(ms);
});

Then(/^(\d+) answers? (?:is|are) "(\w+)"$/, function(this: World, count: string, kind: string) {
    assert.equal(this.outcomes.filter((outcome) => outcome === kind).length, Number(count), this.outcomes.join(" "));
});

Then("nothing has been stored", function(this: World) {
    assert.deepEqual(this.submitted.filter((id) => this.store.get(submissionKey(id)) !== undefined), []);
});
