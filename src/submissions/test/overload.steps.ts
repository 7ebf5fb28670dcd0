import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Clock } from "../../../standins/dispatch";
import { type FakeStore, plainPolicy, plainStep } from "../../../standins/scheduling";
import { createAdmission } from "../../admission";
import type { LogEvent } from "../../logging";
import type { Store } from "../../store";
import {
    createLoadCheck,
    createRecordWriter,
    createSubmissionApi,
    createTombstone,
    encodeRecord,
    type LoadCheck,
    type Step,
    type SubmissionApi,
    submissionKey,
    type SubmissionRequest,
} from "../index";

interface Answered {
    readonly id: string;
    readonly kind: string;
    readonly tookMs: number;
}

interface World {
    clock: Clock;
    store: FakeStore;
    loadedApi: SubmissionApi;
    loadCheck: LoadCheck;
    isOverloaded: boolean;
    isSlow: boolean;
    /** Extra time that each read takes, in milliseconds; infinite: reads are not answered. */
    readDelayMs: number;
    /** Time from the reading of a record to its answer, in milliseconds. */
    answerDelayMs: number;
    reads: number;
    mostReads: number;
    answered: Answered[];
    skippedAtOnce: number;
    events: LogEvent[];
}

Before(function(this: World) {
    this.isOverloaded = true;
    this.isSlow = false;
    this.readDelayMs = 0;
    this.answerDelayMs = 0;
    this.skippedAtOnce = 0;
    this.reads = 0;
    this.mostReads = 0;
    this.answered = [];
    this.events = [];
});

const hex = (id: string) => Buffer.from(id).toString("hex").padStart(16, "0").slice(-16);

function observeReads(world: World, store: Store): Store {
    return {
        ...store,
        async read(key) {
            world.reads++;
            world.mostReads = Math.max(world.mostReads, world.reads);
            await new Promise((resolve) =>
                Number.isFinite(world.readDelayMs) ? setTimeout(resolve, world.readDelayMs) : undefined
            );
            const result = await store.read(key);
            await new Promise((resolve) => setTimeout(resolve, world.answerDelayMs));
            world.reads--;
            return result;
        },
    };
}

Given("an overloaded entry", function(this: World) {
    const store = observeReads(this, this.store.connect("entry-1"));
    const admission = createAdmission(() => 0);
    const nowMs = () => performance.now();
    const report = (event: LogEvent) => void this.events.push(event);
    this.loadedApi = createSubmissionApi({
        policySource: {
            policy: () => plainPolicy,
            ageMs: () => 100,
            confirm: () => Promise.resolve(),
            isStoreLost: () => false,
        },
        store,
        writer: createRecordWriter(store, nowMs),
        leader: { findState: () => Promise.resolve(undefined), countPending: () => Promise.resolve(undefined) },
        cancelBudget: { spend: () => 0 },
        loadCheck: this.loadCheck = createLoadCheck({
            admission: {
                ...admission,
                decide: (request, atMs) => {
                    const excessWaitMs = this.isOverloaded ? 8000 : 0;
                    const pools = [{ pool: "stalls", excessWaitMs }];
                    admission.receive({ token: 1, pools, accounts: [{ account: "giza", tokens: -1 }] }, atMs);
                    return admission.decide(request, atMs);
                },
            },
            store,
            isStoreSlow: () => this.isSlow,
            report,
            nowMs,
        }),
        report,
        steadyMs: nowMs,
        revokeMs: 5000,
        configApplyMs: 2000,
    });
});

Given("another entry has stored {string}", function(this: World, id: string) {
    const submission = { ...createRequest(id), tenant: "giza", route: "stalls", service: "stalls", acceptedAtMs: 1 };
    this.store.put(submissionKey(hex(id)), encodeRecord({ kind: "open", submission, isCancelled: false }));
});

Given("{string} was cancelled before it was stored", function(this: World, id: string) {
    this.store.put(submissionKey(hex(id)), encodeRecord(createTombstone("stalls", Date.now())));
});

Given("another entry has written {string} without an answer", function(this: World, id: string) {
    this.loadCheck.recordElsewhere(hex(id));
});

Given("the store applies writes late", function(this: World) {
    this.store.setFault("entry-1", "late");
});

Given("the store refuses all calls", function(this: World) {
    this.store.setFault("entry-1", "refused");
});

Given("the store does not answer reads", function(this: World) {
    this.readDelayMs = Infinity;
});

Given("reads take {int} ms", function(this: World, ms: number) {
    this.readDelayMs = ms;
});

Given("the answers of reads take {int} ms", function(this: World, ms: number) {
    this.answerDelayMs = ms;
});

When(
    "submission {string} arrives, and arrives again and is let through meanwhile",
    async function(this: World, id: string) {
        void submit(this, createRequest(id));
        await this.clock.advance(10);
        this.isOverloaded = false;
        await submitAndWait(this, createRequest(id));
        await this.clock.advance(100);
    },
);

Then("no answer is {string}", function(this: World, kind: string) {
    assert.equal(this.answered.length, 2);
    assert.ok(this.answered.every((answer) => answer.kind !== kind));
});

Then("no read was made", function(this: World) {
    assert.equal(this.mostReads, 0);
});

Then("at least {int} refusals were skipped at once", function(this: World, count: number) {
    assert.ok(this.skippedAtOnce >= count, String(this.skippedAtOnce));
});

Given("the store counts as slow", function(this: World) {
    this.isSlow = true;
});

When("the store works again", function(this: World) {
    this.store.setFault("entry-1", undefined);
});

When("{int} ms have passed", async function(this: World, ms: number) {
    await this.clock.advance(ms);
});

function createRequest(id: string, step: Partial<Step> = {}, repeats = 0): SubmissionRequest {
    const schedule = { repeats, startAtMs: 0, intervalMs: 1000 };
    return { id: hex(id), payload: "", steps: [{ ...plainStep, ...step }], schedule };
}

function submit(world: World, request: SubmissionRequest): Promise<void> {
    const sentAtMs = performance.now();
    const { id } = request;
    const context = {
        requestId: id,
        host: "stalls.example",
        path: `/stalls/${id}`,
        key: "key-1",
        timeoutMs: 1000,
    };
    return world.loadedApi.accept(context, request).then(({ kind }) =>
        void world.answered.push({ id, kind, tookMs: performance.now() - sentAtMs })
    );
}

async function submitAndWait(world: World, request: SubmissionRequest): Promise<void> {
    const count = world.answered.length + 1;
    void submit(world, request);
    for (let waitedMs = 0; world.answered.length < count && waitedMs < 2000; waitedMs += 5) {
        await world.clock.advance(5);
    }
}

When("submission {string} arrives", async function(this: World, id: string) {
    await submitAndWait(this, createRequest(id));
});

When("submission {string} with a long-running step arrives", async function(this: World, id: string) {
    await submitAndWait(this, createRequest(id, { isLongRunning: true }));
});

When("submission {string} that is repeated arrives", async function(this: World, id: string) {
    await submitAndWait(this, createRequest(id, {}, 3));
});

When("submission {string} with a critical path of 20 seconds arrives", async function(this: World, id: string) {
    await submitAndWait(this, createRequest(id, { estimateMs: 20_000 }));
});

When("submission {string} was let through and had no answer", async function(this: World, id: string) {
    this.isOverloaded = false;
    await submitAndWait(this, createRequest(id));
    assert.ok(["unknown", "storeUnavailable"].includes(this.answered.at(-1)?.kind ?? ""));
    this.isOverloaded = true;
});

When("submission {string} was let through and is being stored", async function(this: World, id: string) {
    this.isOverloaded = false;
    void submit(this, createRequest(id));
    await this.clock.advance(1);
    assert.equal(this.answered.length, 0);
    this.isOverloaded = true;
});

When("{int} submissions arrive at once", async function(this: World, count: number) {
    Array.from({ length: count }, (_, index) => void submit(this, createRequest(`s${index}`)));
    await this.clock.advance(1);
    this.skippedAtOnce = this.events.filter(({ kind }) => kind === "refusalSkipped").length;
    await this.clock.advance(2000);
    assert.equal(this.answered.length, count);
});

Then("the last answer is {string}", function(this: World, kind: string) {
    assert.equal(this.answered.at(-1)?.kind, kind);
});

Then("the last answer is not {string}", function(this: World, kind: string) {
    assert.notEqual(this.answered.at(-1)?.kind, kind);
});

Then("the answer took at most {int} ms", function(this: World, ms: number) {
    assert.ok((this.answered.at(-1)?.tookMs ?? Infinity) <= ms);
});

Then("nothing is stored of {string}", function(this: World, id: string) {
    assert.equal(this.store.get(submissionKey(hex(id))), undefined);
});

Then("the log names tokens, wait, slack and the age of the summary", function(this: World) {
    const event = this.events.find(({ kind }) => kind === "request");
    assert.ok(event?.kind === "request");
    assert.equal(event.detail, "tokens=-1.00 excessWaitMs=8000 slackMs=900 summaryAgeMs=0");
});

Then("the skipped refusal is logged as {string}", function(this: World, reason: string) {
    const event = this.events.find(({ kind }) => kind === "refusalSkipped");
    assert.ok(event?.kind === "refusalSkipped");
    assert.equal(event.reason, reason);
});

Then("at most {int} reads were in flight", function(this: World, count: number) {
    assert.ok(this.mostReads <= count, String(this.mostReads));
});

Then(
    "every submission was answered as {string} or {string} within {int} ms",
    function(this: World, first: string, second: string, ms: number) {
        const others = this.answered.filter(({ kind, tookMs }) => ![first, second].includes(kind) || tookMs > ms);
        assert.deepEqual(others, []);
    },
);

Then("the answers were truthful", function(this: World) {
    for (const { id, kind } of this.answered) {
        assert.equal(this.store.get(submissionKey(id)) !== undefined, kind === "accepted", id);
    }
});

Then("at least {int} answers were {string}", function(this: World, count: number, kind: string) {
    const found = this.answered.filter((answer) => answer.kind === kind).length;
    assert.ok(found >= count, String(found));
});
