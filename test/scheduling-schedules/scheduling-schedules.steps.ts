import { setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Defect, searchSchedules } from "../../standins/schedules";

interface World {
    broken: string[];
}

const defects: Readonly<Record<string, Defect>> = {
    "a lost look ends a worker's life": "silenceEndsLife",
    "ends are acknowledged at once": "endsAckedAtOnce",
    "stops are dropped": "stopsDropped",
};

/** Seeds that are enough to find a planted defect. */
const maxSeeds = 60;

/** A failing schedule is played again this often to make it shorter, which takes about ten seconds. */
const maxTries = 60;

setDefaultTimeout(120_000);

Then("no promise is broken with seeds {int} to {int}", async function(first: number, last: number) {
    let starts = 0;
    for await (const result of searchSchedules({ first, count: last - first + 1, maxTries })) {
        starts += result.starts;
        assert.deepEqual(result.broken, [], result.story.join("\n"));
    }
    assert.ok(starts > 5 * (last - first), "hardly any work was judged");
});

When("schedules are searched from seed {int}, where {}", async function(this: World, first: number, defect: string) {
    this.broken = [];
    const plantedDefect = defects[defect];
    assert.ok(plantedDefect);
    for await (const result of searchSchedules({ first, count: maxSeeds, maxTries: 0, defect: plantedDefect })) {
        this.broken.push(...result.broken);
        if (result.broken.length > 0) {
            return;
        }
    }
});

Then("some schedule breaks {string}", function(this: World, rule: string) {
    assert.ok(this.broken.some((text) => text.startsWith(`${rule}: `)), this.broken.join("\n"));
});
