import { setDefaultTimeout, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { runPlanProperty } from "../../standins/fleet";

setDefaultTimeout(300_000);

Then("no promise is broken with seeds {int} to {int}", async function(first: number, last: number) {
    let taskStarts = 0;
    for (let seed = first; seed <= last; seed++) {
        const result = await runPlanProperty(seed);
        taskStarts += result.taskStarts;
        assert.deepEqual(result.violations, [], `seed ${seed}:\n${result.story.join("\n")}`);
    }
    assert.ok(taskStarts > 100 * (last - first), "hardly any work was judged");
});
