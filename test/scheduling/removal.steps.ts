import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { progressKey } from "../../src/progress";
import { createTombstone, encodeRecord, submissionKey } from "../../src/submissions";
import { plainSubmission } from "../../standins/scheduling";
import type { World } from "./world";

const unknownId = "b".repeat(16);

function firstKey(world: World): string {
    return submissionKey(world.ids[0] ?? "");
}

When("an unknown submission is cancelled", function(this: World) {
    this.ids.push(unknownId);
    this.world.store.put(firstKey(this), encodeRecord(createTombstone("stalls", Date.now())));
});

When("the store carries out the submission's write {int} ms late", function(this: World, lateMs: number) {
    const key = firstKey(this);
    const submission = plainSubmission(unknownId);
    const text = encodeRecord({ kind: "open", submission, isCancelled: false });
    const client = this.world.store.connect("client");
    setTimeout(
        () => void client.commit({ conditions: [{ key, revision: 0 }], puts: [{ key, text }], deletes: [] }),
        lateMs,
    );
});

When("the records are removed, and the same submission comes again", function(this: World) {
    const id = this.ids[0] ?? "";
    this.world.store.remove(submissionKey(id));
    this.world.store.remove(progressKey(id));
    this.world.submit(id, [{ isLongRunning: true }]);
});

Then("the submission is shown as unknown", function(this: World) {
    assert.equal(this.world.owner()?.scheduler()?.findState(unknownId), undefined);
});

Then(/^the (?:record is in the store|submission has a record)$/, function(this: World) {
    assert.ok(this.world.store.get(firstKey(this)));
});

Then("the record is not in the store", function(this: World) {
    assert.equal(this.world.store.get(firstKey(this)), undefined);
});

Then("no task was started", function(this: World) {
    assert.deepEqual(this.world.workers.events.filter(({ kind }) => kind === "started"), []);
});
