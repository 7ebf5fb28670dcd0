import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import {
    createFakeStore,
    type FakeStore,
    plainPolicy,
    plainRoute,
    plainStep,
    type StoreFault,
} from "../../../standins/scheduling";
import type { Policy } from "../../policy";
import {
    createCancelBudget,
    createRecordWriter,
    createSubmissionApi,
    decodeRecord,
    type Step,
    type SubmissionApi,
    submissionKey,
} from "../index";

interface World {
    clock: Clock;
    store: FakeStore;
    api: SubmissionApi;
    policy: Policy | undefined;
    ageMs: number | undefined;
    confirm: () => void;
    isStoreLost: boolean;
    requestedAtMs: number;
    storeCallsBefore: number;
    answers: { readonly kind: string; readonly state?: string; }[];
}

const id = "5c0e7a21d94b36f8";

Before(function(this: World) {
    this.clock = installClock();
    this.store = createFakeStore();
    this.policy = plainPolicy;
    this.ageMs = 100;
    this.confirm = () => {};
    this.isStoreLost = false;
    this.answers = [];
    const store = this.store.connect("entry-1");
    const steadyMs = () => performance.now();
    this.api = createSubmissionApi({
        policySource: {
            policy: () => this.policy,
            ageMs: () => this.ageMs,
            confirm: async () => this.confirm(),
            isStoreLost: () => this.isStoreLost,
        },
        store,
        writer: createRecordWriter(store, steadyMs),
        leader: { findState: () => Promise.resolve(undefined), countPending: () => Promise.resolve(undefined) },
        cancelBudget: createCancelBudget({
            storeWritesPerSecond: 400,
            entryCount: () => 9,
            nowMs: () => performance.now(),
        }),
        report() {},
        steadyMs,
        revokeMs: 5000,
        configApplyMs: 2000,
    });
});

After(function(this: World) {
    this.clock.uninstall();
});

function createContext(path: string, key: string) {
    return { requestId: id, host: "stalls.example", path, key, timeoutMs: 3000 };
}

function createRequest(steps: readonly Partial<Step>[], submissionId = id) {
    return {
        id: submissionId,
        payload: "payload",
        steps: steps.map((step) => ({ ...plainStep, ...step })),
        schedule: { repeats: 0, startAtMs: 0, intervalMs: 0 },
    };
}

async function waitForAnswer(world: World, call: Promise<{ readonly kind: string; }>): Promise<void> {
    let isSettled = false;
    void call.then((answer) => {
        world.answers.push(answer);
        isSettled = true;
    });
    for (let waitedMs = 0; !isSettled && waitedMs < 10_000; waitedMs += 10) {
        await world.clock.advance(10);
    }
}

function submit(world: World, path = `/stalls/${id}`, key = "key-1", steps: readonly Partial<Step>[] = [{}]) {
    return waitForAnswer(world, world.api.accept(createContext(path, key), createRequest(steps)));
}

Given("the store is {string}", function(this: World, fault: StoreFault) {
    this.store.setFault("entry-1", fault);
});

Given("the configuration was confirmed {int} ms ago", function(this: World, ageMs: number) {
    this.ageMs = ageMs;
});

Given("the store confirms the configuration when it is asked", function(this: World) {
    this.confirm = () => this.ageMs = 5;
});

Given(
    "the store answers with a route at {string} and a key {string}",
    function(this: World, path: string, key: string) {
        this.confirm = () => {
            this.ageMs = 5;
            this.policy = {
                ...plainPolicy,
                queues: [...plainPolicy.queues, { ...plainRoute, name: "added", pathPrefix: path }],
                tenants: [...plainPolicy.tenants, { ...plainPolicy.tenants[0]!, name: "added", keys: [key] }],
            };
        };
    },
);

Given("the entry knows that the store is unreachable", function(this: World) {
    this.isStoreLost = true;
    this.requestedAtMs = performance.now();
});

Then("the answer came within {int} ms", function(this: World, ms: number) {
    assert.ok(performance.now() - this.requestedAtMs <= ms);
});

When("{int} ms pass", async function(this: World, ms: number) {
    await this.clock.advance(ms);
});

When("its state is asked for", async function(this: World) {
    await waitForAnswer(this, this.api.state(createContext(`/stalls/${id}`, "key-1"), id));
});

When("{int} unknown submissions are cancelled at once", async function(this: World, count: number) {
    const ids = Array.from({ length: count }, (_, index) => index.toString(16).padStart(16, "c"));
    const calls = ids.map(async (each) => {
        this.answers.push(await this.api.cancel(createContext(`/stalls/${each}`, "key-1"), each));
    });
    await waitForAnswer(this, Promise.all(calls).then(() => ({ kind: "done" })));
});

Then("at least {int} of the answers are {string}", function(this: World, count: number, kind: string) {
    const counted = this.answers.filter((answer) => answer.kind === kind).length;
    assert.ok(counted >= count, `${counted} are ${kind}`);
});

Then("the submission is not open in the store", function(this: World) {
    assert.notEqual(decodeRecord(this.store.get(submissionKey(id))?.text ?? "")?.kind, "open");
});

Given("there is no configuration", function(this: World) {
    this.policy = undefined;
});

When("a submission is submitted", async function(this: World) {
    await submit(this);
});

When("a client submits a submission and gives up after {int} ms", async function(this: World, timeoutMs: number) {
    const context = { ...createContext(`/stalls/${id}`, "key-1"), timeoutMs };
    await waitForAnswer(this, this.api.accept(context, createRequest([{}])));
});

When("it is submitted again", async function(this: World) {
    await submit(this);
});

When("a submission is submitted, and the store recovers after {int} ms", async function(this: World, ms: number) {
    setTimeout(() => this.store.setFault("entry-1", undefined), ms);
    await submit(this);
});

When("a submission is submitted at {string}", async function(this: World, prefix: string) {
    await submit(this, prefix + id);
});

When(
    "a submission is submitted at {string} with the key {string}",
    async function(this: World, prefix: string, key: string) {
        await submit(this, prefix + id, key);
    },
);

When("a submission is submitted with the key {string}", async function(this: World, key: string) {
    await submit(this, `/stalls/${id}`, key);
});

When("a submission is submitted whose first step depends on the second", async function(this: World) {
    await submit(this, `/stalls/${id}`, "key-1", [{ after: [1] }, {}]);
});

Given("{int} submissions are in the store", async function(this: World, count: number) {
    for (let index = 0; index < count; index++) {
        const submissionId = index.toString(16).padStart(16, "0");
        await waitForAnswer(
            this,
            this.api.accept(createContext(`/stalls/${submissionId}`, "key-1"), createRequest([{}], submissionId)),
        );
    }
    this.answers = [];
    this.storeCallsBefore = this.store.calls("entry-1");
});

When("the queue is counted", async function(this: World) {
    await waitForAnswer(this, this.api.count(createContext("/stalls/", "key-1")));
});

Then("the count made no call to the store", function(this: World) {
    assert.equal(this.store.calls("entry-1"), this.storeCallsBefore);
});

When("{int} submissions are submitted concurrently", async function(this: World, count: number) {
    const ids = Array.from({ length: count }, (_, index) => index.toString(16).padStart(16, "0"));
    const calls = ids.map(async (submissionId) => {
        this.answers.push(
            await this.api.accept(createContext(`/stalls/${submissionId}`, "key-1"), createRequest([{}], submissionId)),
        );
    });
    await waitForAnswer(this, Promise.all(calls).then(() => ({ kind: "accepted" })));
});

When("it is cancelled", async function(this: World) {
    await waitForAnswer(this, this.api.cancel(createContext(`/stalls/${id}`, "key-1"), id));
});

When("a submission that was never submitted is cancelled", async function(this: World) {
    await waitForAnswer(this, this.api.cancel(createContext(`/stalls/${id}`, "key-1"), id));
});

When("its state is requested", async function(this: World) {
    await waitForAnswer(this, this.api.state(createContext(`/stalls/${id}`, "key-1"), id));
});

Then("the answer is {string}", function(this: World, kind: string) {
    assert.equal(this.answers.at(-1)?.kind, kind);
});

Then("the state is {string}", function(this: World, state: string) {
    assert.equal(this.answers.at(-1)?.state, state);
});

Then("all are accepted", function(this: World) {
    // The answers to 40 submissions, and one that marks the end of all calls.
    assert.equal(this.answers.length, 41);
    assert.ok(this.answers.every(({ kind }) => kind === "accepted"));
});

Then("the store has had at most {int} calls", function(this: World, count: number) {
    assert.ok(this.store.calls("entry-1") <= count, String(this.store.calls("entry-1")));
});

Then("the submission is in the store", function(this: World) {
    assert.ok(this.store.get(submissionKey(id)));
});

Then("the submission is not in the store", function(this: World) {
    assert.equal(this.store.get(submissionKey(id)), undefined);
});

Then("the submission is stored as cancelled", function(this: World) {
    const record = decodeRecord(this.store.get(submissionKey(id))?.text ?? "");
    assert.ok(record?.kind === "open" && record.isCancelled);
});

Then("its record has the terms of the queue", function(this: World) {
    const record = decodeRecord(this.store.get(submissionKey(id))?.text ?? "");
    assert.deepEqual(record?.kind === "open" ? record.submission.terms : undefined, {
        priority: plainRoute.priority,
        maxAttempts: plainRoute.maxAttempts,
        stretch: plainRoute.stretch,
        targetLatencyMs: plainRoute.targetLatencyMs,
    });
});
