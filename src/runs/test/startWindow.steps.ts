import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Run, Worker } from "../../schedule";
import { createStartWindow, type StartWindow } from "../index";

interface World {
    nowMs: number;
    window: StartWindow;
    worker: Pick<Worker, "runs">;
    runs: Run[];
}

Given("a start window", function(this: World) {
    this.nowMs = 0;
    this.window = createStartWindow(() => this.nowMs);
    this.worker = { runs: new Set() };
});

When("{int} starts are sent and answered after {int} ms each", function(this: World, count: number, ms: number) {
    Array.from({ length: count }, () => this.window.recordAnswer(ms));
});

When(
    "{int} starts are sent and answered after {int} ms each, one after the other",
    function(this: World, count: number, ms: number) {
        for (let at = 0; at < count; at++) {
            this.nowMs += ms;
            this.window.recordAnswer(ms);
        }
    },
);

When("{int} starts are in flight", function(this: World, count: number) {
    this.runs = Array.from({ length: count }, () => ({ phase: "starting", worker: this.worker }) as Run);
    this.runs.forEach((run) => this.worker.runs.add(run));
    this.window.add(this.runs);
});

When("{int} of them are answered", function(this: World, count: number) {
    this.runs.slice(0, count).forEach((run) => run.phase = "running");
});

When("the worker of the others has no runs any more", function(this: World) {
    this.worker.runs.clear();
});

Then("{int} starts may be sent", function(this: World, count: number) {
    assert.equal(this.window.free(), count);
});

When("starts are in flight: {int} in {string} and {int} in {string}", function(
    this: World,
    count: number,
    pool: string,
    otherCount: number,
    otherPool: string,
) {
    for (const [each, name] of [[count, pool], [otherCount, otherPool]] as const) {
        const worker = { pool: name, runs: new Set() } as Pick<Worker, "pool" | "runs">;
        const runs = Array.from({ length: each }, () => ({ phase: "recording", worker }) as Run);
        runs.forEach((run) => worker.runs.add(run));
        this.window.add(runs);
    }
});

Then("the starts in flight are {int} in {string} and {int} in {string}", function(
    this: World,
    count: number,
    pool: string,
    otherCount: number,
    otherPool: string,
) {
    assert.deepEqual([...this.window.inFlightByPool()], [[pool, count], [otherPool, otherCount]]);
});

Then("the window is of {int} starts", function(this: World, size: number) {
    assert.equal(this.window.size(), size);
});
