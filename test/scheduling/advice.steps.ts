import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createFakeAdviser, hasValidTicket, plainPolicy, plainRoute } from "../../standins/scheduling";
import { pass, workerName, type World } from "./world";

const advice = { decisionMs: 50, perWorkerMs: 5, validityMs: 3000 };

/** First digit of the ids of submissions whose steps no worker may run. */
const forbiddenDigit = "b";

Given(/^the queue's policy allows only workers? (\d+)(?: and (\d+))?$/, function(
    this: World,
    first: string,
    second: string | null,
) {
    const allowed = new Set([first, second].map((number) => workerName(Number(number))));
    this.world.applyPolicy({ ...plainPolicy, queues: [{ ...plainRoute, advice }] });
    this.world.advise = createFakeAdviser({
        advice,
        workers: this.world.workers,
        isPermitted: (step, id) => !step.startsWith(forbiddenDigit) && allowed.has(id),
    }).advise;
});

Given("{int} submissions come whose steps no worker may run", async function(this: World, count: number) {
    for (let at = 0; at < count; at++) {
        this.world.submit(at.toString(16).padStart(16, forbiddenDigit), [{ count: 2 }]);
    }
    await pass(this, 100);
});

When("a gang of {int} tasks that need a core each comes", function(this: World, count: number) {
    const id = "a".repeat(16);
    this.ids.push(id);
    this.world.submit(id, [{ count, isGang: true }]);
});

Then("every start carried a valid ticket", function(this: World) {
    const starts = this.world.workers.events.filter(({ kind }) => kind === "started");
    assert.deepEqual(starts.filter((start) => !hasValidTicket(start)), []);
});
