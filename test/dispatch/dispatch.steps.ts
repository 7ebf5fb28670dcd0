import { setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type PropertyOutcome, runDispatchProperty } from "./dispatchProperty";

interface World {
    outcomes: (PropertyOutcome & { readonly seed: number; })[];
}

setDefaultTimeout(120_000);

When("{int} seeded schedules of work and faults are run", async function(this: World, count: number) {
    this.outcomes = [];
    for (let seed = 1; seed <= count; seed++) {
        this.outcomes.push({ seed, ...await runDispatchProperty(seed) });
    }
});

Then("no promise was broken", function(this: World) {
    const broken = this.outcomes.filter((outcome) => outcome.broken.length > 0);
    assert.deepEqual(broken.map(({ seed, broken: what }) => ({ seed, what })).slice(0, 5), []);
});

Then("a good part of the tasks was answered", function(this: World) {
    const sum = (pick: (outcome: PropertyOutcome) => number) =>
        this.outcomes.reduce((total, each) => total + pick(each), 0);
    assert.ok(sum(({ answered }) => answered) > 0.2 * sum(({ tasks }) => tasks));
});
