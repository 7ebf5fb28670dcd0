import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import { createPermitCache, type PermitCache } from "../index";

interface World {
    clock: Clock;
    permitCache: PermitCache;
    requestCount: number;
    inFlight: number;
    maxInFlight: number;
    busyAnswersLeft: number;
}

Before(function(this: World) {
    this.clock = installClock();
    this.requestCount =
        this.inFlight =
        this.maxInFlight =
        this.busyAnswersLeft =
            0;
    this.permitCache = createPermitCache({
        steadyMs: () => performance.now(),
        report() {},
        onChange() {},
        advice: {
            ask: async (_step, workerIds) => {
                this.requestCount++;
                this.maxInFlight = Math.max(this.maxInFlight, ++this.inFlight);
                await new Promise((resolve) => setTimeout(resolve, 20));
                this.inFlight--;
                if (this.busyAnswersLeft-- > 0) {
                    return { kind: "busy" };
                }
                const permits = workerIds.map((workerId) => ({ workerId, ticket: `t ${workerId}` }));
                return { kind: "permits", permits, validityMs: 3000 };
            },
        },
    });
});

After(function(this: World) {
    this.clock.uninstall();
});

Given("the service is busy once", function(this: World) {
    this.busyAnswersLeft = 1;
});

When("step {string} is planned {int} times", async function(this: World, step: string, times: number) {
    for (let at = 0; at < times; at++) {
        this.permitCache.allowedWorkers(step, ["worker-1", "worker-2"]);
        await this.clock.advance(10);
    }
});

When("{int} steps are planned at once", async function(this: World, count: number) {
    for (let at = 0; at < count; at++) {
        this.permitCache.allowedWorkers(`step-${at}`, ["worker-1"]);
    }
    await this.clock.advance(300);
});

When("{int} ms pass", async function(this: World, ms: number) {
    await this.clock.advance(ms);
});

Then("{int} request was sent", function(this: World, count: number) {
    assert.equal(this.requestCount, count);
});

Then("at most {int} request was in flight at once", function(this: World, most: number) {
    assert.equal(this.maxInFlight, most);
    assert.equal(this.requestCount, 5);
});

Then("{string} may run step {string}", function(this: World, worker: string, step: string) {
    assert.ok(this.permitCache.allowedWorkers(step, [worker])?.has(worker));
    assert.equal(this.permitCache.ticket(step, worker), `t ${worker}`);
});

Then("{string} has no ticket for step {string}", function(this: World, worker: string, step: string) {
    assert.equal(this.permitCache.ticket(step, worker), undefined);
});
