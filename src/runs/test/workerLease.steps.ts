import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createWorker, type Worker } from "../../schedule";
import {
    areLeasesExpired,
    boundEarlierLeases,
    earliestWorkerMs,
    extendLeaseBound,
    type LeaseBounds,
    recordClockReading,
    startValidUntilMs,
} from "../index";

interface World {
    bounds: LeaseBounds;
    leaseWorker: Worker;
    nowMs: number;
    validUntilMs: number | undefined;
}

/** When the tenure began, and how far the worker's clock is ahead of the local one, in milliseconds. */
const tenureStartedAtMs = 10_000;
const clockAheadMs = 70_000;

/** Longest lease that a worker allows, in milliseconds. */
const maxLeaseMs = 10_000;

function answer(worker: World["leaseWorker"], ageMs: number, from: "stop" | "list"): number {
    const atMs = tenureStartedAtMs + ageMs;
    const workerMs = atMs + clockAheadMs;
    recordClockReading(worker, { workerMs, sentAtMs: atMs, receivedAtMs: atMs, from });
    return workerMs;
}

Given("a tenure that grants leases of {int} ms", function(this: World, leaseMs: number) {
    this.bounds = { leaseMs, maxLeaseMs, earlierLeadersUntilMs: tenureStartedAtMs };
    this.leaseWorker = createWorker("worker-1", 1);
});

Given("an earlier leader that may send requests until {int} ms of the tenure", function(this: World, ageMs: number) {
    this.bounds = { ...this.bounds, earlierLeadersUntilMs: tenureStartedAtMs + ageMs };
});

Given(
    "a worker that has taken over runs of an earlier incarnation at {int} ms",
    function(this: World, ageMs: number) {
        this.leaseWorker.inheritedAtMs = tenureStartedAtMs + ageMs;
    },
);

Given("a worker that has answered nothing", function(this: World) {
    assert.equal(this.leaseWorker.clock, undefined);
});

Given("a worker that has answered a stop", function(this: World) {
    answer(this.leaseWorker, 200, "stop");
});

Given(
    "a worker that has answered a stop and got a lease of {int} ms at {int} ms",
    function(this: World, leaseMs: number, ageMs: number) {
        extendLeaseBound(this.leaseWorker, answer(this.leaseWorker, ageMs, "stop") + leaseMs);
    },
);

Given("a worker that has listed its runs at {int} ms", function(this: World, ageMs: number) {
    const askedAtMs = tenureStartedAtMs + ageMs;
    boundEarlierLeases(this.leaseWorker, answer(this.leaseWorker, ageMs, "list"), this.bounds);
    this.leaseWorker.runList = { kind: "read", firstReadAtMs: askedAtMs, askedAtMs };
});

When("it does not answer until {int} ms of the tenure", function(this: World, ageMs: number) {
    this.nowMs = tenureStartedAtMs + ageMs;
});

When("a start is sent at {int} ms of the tenure", function(this: World, ageMs: number) {
    this.nowMs = tenureStartedAtMs + ageMs;
    this.validUntilMs = startValidUntilMs(this.leaseWorker, this.nowMs);
});

Then(
    "it is valid for at most {int} ms by the slowest clock that the worker may have",
    function(this: World, validMs: number) {
        const earliestMs = earliestWorkerMs(this.leaseWorker, this.nowMs) ?? 0;
        assert.ok((this.validUntilMs ?? 0) - earliestMs <= validMs, String((this.validUntilMs ?? 0) - earliestMs));
    },
);

Then(/^its leases have (expired|not expired)$/, function(this: World, state: string) {
    assert.equal(areLeasesExpired(this.leaseWorker, this.bounds, this.nowMs), state === "expired");
});
