import { Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Defect } from "../../../bench/once/createCluster";
import { defects } from "../../../bench/once/defects";
import { runSchedule } from "../../../bench/once/runSchedule";

interface World {
    faults: string[];
    defect: Defect;
}

/** Maximum number of seeds that are tried until a defect is found. */
const maxDefectSeeds = 400;

setDefaultTimeout(60_000);

When("{int} seeded schedules are run", async function(this: World, count: number) {
    this.faults = [];
    for (let seed = 0; seed < count; seed++) {
        const { faults } = await runSchedule(seed);
        this.faults.push(...faults.map((fault) => `seed ${seed}: ${fault}`));
    }
});

Given("entries with the defect {string}", function(this: World, name: keyof typeof defects) {
    this.defect = defects[name];
});

Then("the judge finds no fault", function(this: World) {
    assert.deepEqual(this.faults, []);
});

Then("the judge finds {string} from seed {int} on", async function(this: World, text: string, firstSeed: number) {
    const found: string[] = [];
    for (
        let seed = firstSeed;
        seed < firstSeed + maxDefectSeeds && !found.some((fault) => fault.includes(text));
        seed++
    ) {
        found.push(...(await runSchedule(seed, this.defect)).faults);
    }
    assert.ok(found.some((fault) => fault.includes(text)), `found only: ${found.join("\n")}`);
});
