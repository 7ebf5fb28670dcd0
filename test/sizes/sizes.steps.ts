import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type ModelFleet, type ModelResult, simulateFleet, usualFleets } from "../../bench/model";

interface World {
    fleet: ModelFleet;
    result: ModelResult;
}

const seed = 1;
const leastPartOfQueue = 0.5;

Given("a fleet whose pools get {float} times what they hold", function(this: World, peakShare: number) {
    const fleet = usualFleets.find(({ name }) => name === "few small machines");
    assert.ok(fleet);
    this.fleet = { ...fleet, turns: "none", peakShare };
});

Given("a third of its machines is lost after {int} s", function(this: World, atS: number) {
    this.fleet = { ...this.fleet, loss: { share: 1 / 3, atMs: atS * 1000 } };
});

When("a day is played", { timeout: 60_000 }, function(this: World) {
    this.result = simulateFleet(this.fleet, seed);
});

Then("each size of each queue is served at least half as often as the queue", function(this: World) {
    const { served } = this.result;
    const shortOf = served.filter(({ queue, servedShare }) => {
        const whole = served.find((each) => each.queue === queue && each.size === "all");
        return servedShare < leastPartOfQueue * (whole?.servedShare ?? 0);
    });
    const describe = ({ queue, size, servedShare }: ModelResult["served"][number]) =>
        `${queue} ${size}: ${servedShare.toFixed(2)}`;
    assert.deepEqual(shortOf.map(describe), [], served.map(describe).join("\n"));
});
