import { Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { choosePace } from "../index";

Then(
    "at pace {int} with a latency of {int} of {int} ms the next pace is {int}",
    function(pace: number, latencyMs: number, targetMs: number, next: number) {
        assert.equal(choosePace(pace, [{ latencyMs, targetMs }]), next);
    },
);
