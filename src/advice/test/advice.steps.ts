import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import { type Advisor, createAdvisor } from "../index";

interface World {
    clock: Clock;
    advisor: Advisor;
    asked: number;
    underWay: number;
    mostUnderWay: number;
    busyTimes: number;
}

Before(function(this: World) {
    this.clock = installClock();
    this.asked =
        this.underWay =
        this.mostUnderWay =
        this.busyTimes =
            0;
    this.advisor = createAdvisor({
        steadyMs: () => performance.now(),
        report() {},
        onChange() {},
        advice: {
            ask: async (_step, workerIds) => {
                this.asked++;
                this.mostUnderWay = Math.max(this.mostUnderWay, ++this.underWay);
                await new Promise((resolve) => setTimeout(resolve, 20));
                this.underWay--;
                if (this.busyTimes-- > 0) {
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
    this.busyTimes = 1;
});

When("step {string} is planned {int} times", async function(this: World, step: string, times: number) {
    for (let at = 0; at < times; at++) {
        this.advisor.allowed(step, ["worker-1", "worker-2"]);
        await this.clock.advance(10);
    }
});

When("{int} steps are planned at once", async function(this: World, count: number) {
    for (let at = 0; at < count; at++) {
        this.advisor.allowed(`step-${at}`, ["worker-1"]);
    }
    await this.clock.advance(300);
});

When("{int} ms pass", async function(this: World, ms: number) {
    await this.clock.advance(ms);
});

Then("{int} question was asked", function(this: World, count: number) {
    assert.equal(this.asked, count);
});

Then("at most {int} question was under way at once", function(this: World, most: number) {
    assert.equal(this.mostUnderWay, most);
    assert.equal(this.asked, 5);
});

Then("{string} may run step {string}", function(this: World, worker: string, step: string) {
    assert.ok(this.advisor.allowed(step, [worker])?.has(worker));
    assert.equal(this.advisor.ticket(step, worker), `t ${worker}`);
});

Then("{string} has no ticket for step {string}", function(this: World, worker: string, step: string) {
    assert.equal(this.advisor.ticket(step, worker), undefined);
});
