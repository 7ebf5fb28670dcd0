import { After, Before, Then, When } from "@cucumber/cucumber";
import { type Clock, install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { type Clocks, createClocks } from "../index";

interface World {
    clock: Clock;
    clocks: Clocks;
    startedAtMs: number;
}

/** Suspensions shorter than this may be left out of the elapsed time, in milliseconds. */
const toleranceMs = 10;

Before(function(this: World) {
    this.clock = install({ now: 1_000_000, toFake: ["Date", "performance"] });
    this.clocks = createClocks();
    this.startedAtMs = this.clocks.suspendAwareMs();
});

After(function(this: World) {
    this.clock.uninstall();
});

/** Only the wall clock continues while a machine is suspended. */
function moveWallClock(world: World, ms: number): void {
    world.clock.setSystemTime(Date.now() + ms);
}

When("{int} ms pass and the clock is read every {float} ms", function(this: World, ms: number, stepMs: number) {
    for (const untilMs = performance.now() + ms; performance.now() < untilMs;) {
        this.clock.tick(stepMs);
        this.clocks.suspendAwareMs();
    }
});

When("the machine is suspended for {int} ms", function(this: World, ms: number) {
    moveWallClock(this, ms);
});

When("the machine is suspended {int} times for {int} ms", function(this: World, times: number, ms: number) {
    for (let count = 0; count < times; count++) {
        moveWallClock(this, ms);
        this.clocks.suspendAwareMs();
    }
});

When("the wall clock is set back by {int} ms", function(this: World, ms: number) {
    moveWallClock(this, -ms);
    this.clocks.suspendAwareMs();
});

Then("the clock has advanced by {int} ms", function(this: World, ms: number) {
    const advancedMs = this.clocks.suspendAwareMs() - this.startedAtMs;
    assert.ok(Math.abs(advancedMs - ms) <= toleranceMs, `${advancedMs} ms`);
});
