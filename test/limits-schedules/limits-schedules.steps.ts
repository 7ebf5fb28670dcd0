import { setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { LimitsDefect } from "../../bench/limits/limitsWorld";
import { runLimitsSchedule, type ScheduleResult } from "../../bench/limits/runLimitsSchedule";

interface World {
    results: ScheduleResult[];
}

const defects: Readonly<Record<string, LimitsDefect>> = {
    "a conflict counts as written": "conflictCountsAsWritten",
    "an unknown end frees room": "unknownFreesRoom",
};

setDefaultTimeout(120_000);

When(/^(\d+) random schedules have run from seed (\d+)(?:, where (.*))?$/, async function(
    this: World,
    count: string,
    first: string,
    defect: string | undefined,
) {
    this.results = [];
    for (let seed = Number(first); seed < Number(first) + Number(count); seed++) {
        const result = await runLimitsSchedule(seed, defect ? defects[defect] : undefined);
        this.results.push(result);
        if (defect && result.broken.length > 0) {
            return;
        }
    }
});

Then("no schedule passed a limit or lost room for good", function(this: World) {
    const broken = this.results.filter((result) => result.broken.length > 0);
    assert.deepEqual(broken.map(({ seed, broken: [first] }) => `seed ${seed}: ${first}`), []);
});

Then("some schedule passed a limit", function(this: World) {
    assert.ok(this.results.some(({ broken }) => broken.some((text) => text.includes("limit"))));
});
