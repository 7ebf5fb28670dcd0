import { setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { defects } from "../../../bench/once/defects";
import { runSchedule } from "../../../bench/once/runSchedule";

interface World {
    faults: string[];
}

/** Seeds tried until a defect shows. */
const maxDefectSeeds = 400;

setDefaultTimeout(60_000);

When("{int} seeded schedules are run", async function(this: World, count: number) {
    this.faults = [];
    for (let seed = 0; seed < count; seed++) {
        const { faults } = await runSchedule(seed);
        this.faults.push(...faults.map((fault) => `seed ${seed}: ${fault}`));
    }
});

When("schedules are run with the defect {string}", async function(this: World, name: keyof typeof defects) {
    this.faults = [];
    for (let seed = 0; seed < maxDefectSeeds && this.faults.length === 0; seed++) {
        const { faults } = await runSchedule(seed, defects[name]);
        this.faults.push(...faults);
    }
});

Then("the judge finds no fault", function(this: World) {
    assert.deepEqual(this.faults, []);
});

Then("the judge finds {string}", function(this: World, text: string) {
    assert.ok(this.faults.some((fault) => fault.includes(text)), `found only: ${this.faults.join("\n")}`);
});
