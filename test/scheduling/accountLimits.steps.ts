import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { pass, type World } from "./world";

When(
    "a submission of {int} tasks of {int} ms comes that allows speculative runs",
    async function(this: World, count: number, workMs: number) {
        const id = (this.ids.length + 1).toString(16).padStart(16, "9");
        this.ids.push(id);
        this.workMs.set(id, workMs);
        this.world.submit(id, [{ count, estimateMs: workMs, isSpeculative: true }]);
        await pass(this, 20);
    },
);

Then("at most {int} tasks ran at once", function(this: World, most: number) {
    let running = 0;
    let mostRunning = 0;
    for (const { kind } of this.world.workers.events) {
        if (kind === "started") {
            running++;
        }
        else if (kind !== "stopOrdered") {
            running--;
        }
        mostRunning = Math.max(mostRunning, running);
    }
    assert.ok(mostRunning <= most, `${mostRunning} tasks ran at once`);
});

When("operators remove the account", function(this: World) {
    this.world.applyPolicy({ ...this.world.policy, version: this.world.policy.version + 1, tenants: [] });
});
