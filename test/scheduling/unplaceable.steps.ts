import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { World } from "./world";

Given("{int} submissions come whose {int} long-running tasks need a label that no worker has", function(
    this: World,
    submissions: number,
    count: number,
) {
    for (let at = 0; at < submissions; at++) {
        const id = at.toString(16).padStart(16, "9");
        this.world.submit(id, [{ count, isLongRunning: true, workerLabel: "none" }]);
    }
});

Then("the log names {int} submission(s) as unplaceable because of {string}", function(
    this: World,
    count: number,
    obstacle: string,
) {
    const named = this.world.events().flatMap((event) =>
        event.kind === "unplaceable" && event.obstacle === obstacle ? [event.submission] : []
    );
    assert.equal(new Set(named).size, count);
});
