import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { decodeRecord, submissionKey } from "../../src/submissions";
import { measureHeapBytes } from "../../standins/measureHeapBytes";
import { plainStep } from "../../standins/scheduling";
import type { World } from "./world";

const largeId = "9".repeat(16);
const dayMs = 86_400_000;
const size = { ...plainStep.size, cpuMillis: 10, memoryMb: 1 };

When(
    "a submission of {int} tasks of {int} ms comes that take a hundredth of a core each",
    function(this: World, count: number, workMs: number) {
        this.workMs.set(largeId, workMs);
        this.world.submit(largeId, [{ count, size, estimateMs: workMs }]);
    },
);

When("a submission comes that has been due {int} times since yesterday", function(this: World, repeats: number) {
    const schedule = { repeats, startAtMs: Date.now() - dayMs, intervalMs: Math.floor(dayMs / repeats) };
    this.workMs.set(largeId, 50);
    this.world.submit(largeId, [{ size, estimateMs: 50 }], { schedule });
});

When(
    "a submission of {int} tasks of {int} ms comes that has been due {int} times",
    function(this: World, count: number, workMs: number, repeats: number) {
        const schedule = { repeats, startAtMs: Date.now() - repeats, intervalMs: 1 };
        this.workMs.set(largeId, workMs);
        this.world.submit(largeId, [{ count, size, estimateMs: workMs }], { schedule });
    },
);

When("a long-running submission of {int} tasks comes whose runs end after {int} ms", function(
    this: World,
    count: number,
    workMs: number,
) {
    this.workMs.set(largeId, workMs);
    this.world.submit(largeId, [{ count, size: { ...size, cpuMillis: 1 }, isLongRunning: true }]);
});

When("a gang of {int} tasks comes that take a thousandth of a core each", function(this: World, count: number) {
    this.world.submit(largeId, [{ count, isGang: true, size: { ...size, cpuMillis: 1 } }]);
});

Given("the memory in use is measured", function(this: World) {
    this.heapBytes = measureHeapBytes();
});

Then("less than {int} MB more memory is in use", function(this: World, most: number) {
    const takenMb = (measureHeapBytes() - (this.heapBytes ?? 0)) / 1_000_000;
    assert.ok(takenMb < most, `${takenMb.toFixed(1)} MB`);
});

When("its task {int} always fails", function(this: World, index: number) {
    this.world.workers.setFailing((task) => task === `${largeId}.0.0.${index}`);
});

When("the large submission is cancelled", function(this: World) {
    this.cancelledAtMs = performance.now();
    this.world.cancel(largeId);
});

function stateOf(world: World, id: string): string {
    const record = decodeRecord(world.world.store.get(submissionKey(id))?.text ?? "");
    return record?.kind === "final" ? record.state : "open";
}

Then("the small submission is complete", function(this: World) {
    assert.deepEqual(this.ids.map((id) => stateOf(this, id)), ["complete"]);
});

Then("the large submission is complete", function(this: World) {
    assert.equal(stateOf(this, largeId), "complete");
});

Then("the large submission is {string}", function(this: World, state: string) {
    assert.equal(stateOf(this, largeId), state);
});

When("its tasks are partly done", function(this: World) {
    const done = this.world.workers.events.filter(({ kind, task }) => kind === "done" && task.startsWith(largeId));
    assert.ok(done.length > 2000 && done.length < 5900, String(done.length));
});

Then("each of its {int} tasks was done once", function(this: World, count: number) {
    const done = this.world.workers.events.filter(({ kind, task }) => kind === "done" && task.startsWith(largeId));
    assert.equal(new Set(done.map(({ task }) => task)).size, count);
    assert.equal(done.length, count);
});

Then("its task {int} was started {int} times", function(this: World, index: number, count: number) {
    const starts = this.world.workers.events.filter(({ kind, task }) =>
        kind === "started" && task === `${largeId}.0.0.${index}`
    );
    assert.equal(starts.length, count);
});

Then("no task was started after its submission was cancelled", function(this: World) {
    const lastStartMs = this.world.workers.events.reduce(
        (last, { kind, atMs }) => kind === "started" ? Math.max(last, atMs) : last,
        0,
    );
    assert.ok(lastStartMs - (this.cancelledAtMs ?? 0) < 500, String(lastStartMs - (this.cancelledAtMs ?? 0)));
});
