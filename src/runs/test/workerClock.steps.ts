import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createWorker, type Worker } from "../../schedule";
import { recordClockReading } from "../workerClock";

interface World {
    worker: Worker;
}

Given(
    "a worker whose clock shows {int} at {int} ms, with leases until {int}",
    function(this: World, workerMs: number, atMs: number, leaseUntilWorkerMs: number) {
        this.worker = { ...createWorker("worker-1", 1), leaseUntilWorkerMs };
        recordClockReading(this.worker, { workerMs, sentAtMs: atMs, receivedAtMs: atMs, from: "list" });
    },
);

When(
    "its clock shows {int} in an answer at {int} ms to a call of {int} ms",
    function(this: World, workerMs: number, receivedAtMs: number, sentAtMs: number) {
        recordClockReading(this.worker, { workerMs, sentAtMs, receivedAtMs, from: "start" });
    },
);

Then("the upper bound of its leases is {int}", function(this: World, workerMs: number) {
    assert.equal(this.worker.leaseUntilWorkerMs, workerMs);
});

Then("it has inherited runs of an earlier incarnation", function(this: World) {
    assert.notEqual(this.worker.inheritedAtMs, undefined);
});

Then("it has inherited no runs of an earlier incarnation", function(this: World) {
    assert.equal(this.worker.inheritedAtMs, undefined);
});
