import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import type { AdviceConfig } from "../../policy";
import { createPermitCache, type PermitCache } from "../index";

interface World {
    clock: Clock;
    advice: AdviceConfig;
    permitCache: PermitCache;
    requests: { readonly step: string; readonly workerIds: readonly string[]; }[];
    inFlight: number;
    maxInFlight: number;
    busyAnswersLeft: number;
    /** Workers that may run no step. */
    denied: Set<string>;
    /** Response time of the service; the declared one if not set. */
    responseMs: ((workers: number) => number) | undefined;
    startedSteps: Set<string>;
}

/** Timeout of the service's client, in milliseconds. */
const timeoutMs = 3000;

const name = (number: number) => `worker-${number}`;

Before(function(this: World) {
    this.clock = installClock();
    this.advice = { decisionMs: 20, perWorkerMs: 0, validityMs: 3000 };
    this.requests = [];
    this.inFlight = this.maxInFlight = this.busyAnswersLeft = 0;
    this.denied = new Set();
    this.responseMs = undefined;
    this.startedSteps = new Set();
    this.permitCache = createPermitCache({
        steadyMs: () => performance.now(),
        report() {},
        onChange() {},
        advice: {
            ask: async (step, workerIds) => {
                const { decisionMs, perWorkerMs, validityMs } = this.advice;
                const tookMs = this.responseMs?.(workerIds.length) ?? decisionMs + perWorkerMs * workerIds.length;
                this.requests.push({ step, workerIds });
                this.maxInFlight = Math.max(this.maxInFlight, ++this.inFlight);
                await new Promise((resolve) => setTimeout(resolve, Math.min(tookMs, timeoutMs)));
                this.inFlight--;
                if (tookMs > timeoutMs) {
                    return { kind: "noAnswer", detail: "no answer in time" };
                }
                if (this.busyAnswersLeft-- > 0) {
                    return { kind: "busy" };
                }
                const permitted = workerIds.filter((workerId) => !this.denied.has(workerId));
                const permits = permitted.map((workerId) => ({ workerId, ticket: `t ${workerId}` }));
                return { kind: "permits", permits, validityMs };
            },
        },
    });
});

After(function(this: World) {
    this.clock.uninstall();
});

/** Plans a step as a planning round does: it starts on a permitted worker, or advice is requested. */
function planStep({ permitCache, advice, startedSteps }: World, step: string, workers = 2, bornMs = 1): void {
    if (permitCache.allowedWorkers(step, () => bornMs).size > 0) {
        startedSteps.add(step);
        return;
    }
    const numbers = Array.from({ length: workers }, (_, at) => at + 1);
    const candidates = numbers.map((number) => ({ workerId: name(number), bornMs, hasFreeCapacity: true }));
    permitCache.request(step, advice, candidates);
}

Given("the service is busy once", function(this: World) {
    this.busyAnswersLeft = 1;
});

Given("the service takes {int} ms and {int} ms for each worker, and its tickets are valid for {int} ms", function(
    this: World,
    decisionMs: number,
    perWorkerMs: number,
    validityMs: number,
) {
    this.advice = { decisionMs, perWorkerMs, validityMs };
});

Given("the service takes {int} ms more for each worker than declared", function(this: World, ms: number) {
    const { decisionMs, perWorkerMs } = this.advice;
    this.responseMs = (workers) => decisionMs + (perWorkerMs + ms) * workers;
});

Given("only {string} may run steps", function(this: World, permitted: string) {
    Array.from({ length: 300 }, (_, at) => name(at + 1)).forEach((each) => this.denied.add(each));
    this.denied.delete(permitted);
});

When("step {string} is planned {int} times", async function(this: World, step: string, times: number) {
    for (let at = 0; at < times; at++) {
        planStep(this, step);
        await this.clock.advance(10);
    }
});

When("step {string} is planned for {int} ms in a pool of {int} workers", async function(
    this: World,
    step: string,
    ms: number,
    workers: number,
) {
    for (let waitedMs = 0; waitedMs < ms; waitedMs += 10) {
        planStep(this, step, workers);
        await this.clock.advance(10);
    }
});

When("{int} steps are planned at once", async function(this: World, count: number) {
    Array.from({ length: count }, (_, at) => planStep(this, `step-${at}`));
    await this.clock.advance(300);
});

When("{int} ms pass", async function(this: World, ms: number) {
    await this.clock.advance(ms);
});

Then("{int} request(s) was/were sent", function(this: World, count: number) {
    assert.equal(this.requests.length, count);
});

Then("at most {int} request was in flight at once", function(this: World, most: number) {
    assert.equal(this.maxInFlight, most);
    assert.equal(this.requests.length, 5);
});

Then("no worker was named twice", function(this: World) {
    const named = this.requests.flatMap(({ workerIds }) => workerIds);
    assert.equal(new Set(named).size, named.length);
});

Then("step {string} has started", function(this: World, step: string) {
    assert.ok(this.startedSteps.has(step));
});

Then("{string} may run step {string}", function(this: World, worker: string, step: string) {
    assert.ok(this.permitCache.allowedWorkers(step, () => 1).has(worker));
    assert.equal(this.permitCache.ticket(step, worker, 1), `t ${worker}`);
});

Then("{string} has no ticket for step {string}", function(this: World, worker: string, step: string) {
    assert.equal(this.permitCache.ticket(step, worker, 1), undefined);
});

Then("another incarnation of {string} may not run step {string}", function(this: World, worker: string, step: string) {
    assert.ok(!this.permitCache.allowedWorkers(step, () => 2).has(worker));
    assert.equal(this.permitCache.ticket(step, worker, 2), undefined);
});
