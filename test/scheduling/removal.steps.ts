import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { progressKey } from "../../src/progress";
import { submissionKey } from "../../src/submissions";
import type { World } from "./world";

function firstKey(world: World): string {
    return submissionKey(world.ids[0] ?? "");
}

When("the records are removed, and the same submission comes again", function(this: World) {
    const id = this.ids[0] ?? "";
    this.world.store.remove(submissionKey(id));
    this.world.store.remove(progressKey(id));
    this.world.submit(id, [{ isLongRunning: true }]);
});

Then(/^the (?:record is in the store|submission has a record)$/, function(this: World) {
    assert.ok(this.world.store.get(firstKey(this)));
});

Then("the record is not in the store", function(this: World) {
    assert.equal(this.world.store.get(firstKey(this)), undefined);
});
