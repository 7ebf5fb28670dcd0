import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import { type CompetitionWorld, createCompetitionWorld } from "../../../standins/scheduling";

setDefaultTimeout(60_000);

interface World {
    clock?: Clock;
    fleet: CompetitionWorld;
    startedAtMs: number;
}

const pools = ["stalls", "offices", "vets", "gates"];
const tickMs = 10;
const noLimit = 1_000_000;
const shortMs = 600;

async function pass(world: World, ms: number): Promise<void> {
    for (let at = 0; at < ms; at += tickMs) {
        await world.clock?.advance(tickMs);
        world.fleet.tick();
    }
}

After({ tags: "@competition" }, function(this: World) {
    if (this.clock !== undefined) {
        this.fleet.stop();
        this.clock.uninstall();
    }
});

Given("{int} machines in {string} and 1 in each other pool", function(this: World, count: number, pool: string) {
    this.clock = installClock();
    this.startedAtMs = Date.now();
    this.fleet = createCompetitionWorld(pools);
    pools.forEach((name) => this.fleet.addMachines(name, name === pool ? count : 1));
    this.fleet.start();
});

Given("{string} has a backlog of tasks of {int} ms without end", function(this: World, pool: string, taskMs: number) {
    this.fleet.loads.set(pool, { taskMs, submissionsPerSecond: 0, backlog: 150, startsPerSecond: noLimit });
});

Given(
    "{string} has a backlog without end, of which {int} tasks a second can be started",
    function(this: World, pool: string, startsPerSecond: number) {
        this.fleet.loads.set(pool, { taskMs: 500, submissionsPerSecond: 0, backlog: 150, startsPerSecond });
    },
);

Given("{string} has {int} tasks that serve on", function(this: World, pool: string, count: number) {
    this.fleet.addLongRunning(pool, count);
});

When("{string} gets {int} submissions a second", function(this: World, pool: string, submissionsPerSecond: number) {
    this.fleet.loads.set(pool, { taskMs: shortMs, submissionsPerSecond, backlog: 0, startsPerSecond: noLimit });
});

When("{int} ms pass in the pools", async function(this: World, ms: number) {
    await pass(this, ms);
});

When("the backlogs end", function(this: World) {
    this.fleet.loads.clear();
});

When("a rack is lost", function(this: World) {
    this.fleet.loseRack("rack-1");
});

When("a rack is evacuated", function(this: World) {
    this.fleet.evacuated = new Set(["rack-2"]);
});

When("a wave over machines {int} to {int} comes, {int} at once", function(
    this: World,
    first: number,
    last: number,
    maxDown: number,
) {
    const machines = Array.from({ length: last - first + 1 }, (_, at) => `machine-${first + at}`);
    this.fleet.waves = [{ wave: 1, machines, completeByS: 30, maxDown }];
});

Then("submissions of {string} that came in the last {int} ms took at most {int} ms", function(
    this: World,
    pool: string,
    lastMs: number,
    mostMs: number,
) {
    const ended = this.fleet.durations.get(pool)?.filter(({ acceptedAtMs }) => acceptedAtMs > Date.now() - lastMs)
        ?? [];
    const longestMs = Math.max(...ended.map(({ tookMs }) => tookMs));
    assert.ok(ended.length > 0 && longestMs <= mostMs, `${ended.length} ended, the longest took ${longestMs} ms`);
});

Then("{string} and {string} have machines in equal numbers, up to {int}", function(
    this: World,
    one: string,
    other: string,
    most: number,
) {
    const [a, b] = [this.fleet.countMachines(one), this.fleet.countMachines(other)];
    assert.ok(Math.abs(a - b) <= most, `${one} has ${a}, ${other} has ${b}`);
});

Then("{string} has {int} to {int} machines", function(this: World, pool: string, least: number, most: number) {
    const count = this.fleet.countMachines(pool);
    assert.ok(count >= least && count <= most, `${pool} has ${count} machines`);
});

Then("no run was ended or stopped", function(this: World) {
    assert.deepEqual(this.fleet.harmed, []);
});

Then("after {int} ms no machine returned to a pool within {int} ms", function(
    this: World,
    settledMs: number,
    withinMs: number,
) {
    const moves = this.fleet.moves.filter(({ atMs }) => atMs > this.startedAtMs + settledMs);
    const returned = moves.filter((move) =>
        moves.some((earlier) =>
            earlier.machine === move.machine && earlier.from === move.to && earlier.from !== "spare"
            && earlier.atMs < move.atMs && move.atMs - earlier.atMs < withinMs
        )
    );
    assert.deepEqual(returned, []);
});

Then("at most {int} machines moved in the last {int} ms", function(this: World, most: number, lastMs: number) {
    const moves = this.fleet.moves.filter(({ atMs }) => atMs > Date.now() - lastMs);
    assert.ok(moves.length <= most, moves.map(({ machine, from, to }) => `${machine} ${from} ${to}`).join(", "));
});

Then("each machine of the wave went down", function(this: World) {
    assert.deepEqual(this.fleet.waves[0]?.machines.filter((id) => !this.fleet.begun.has(id)), []);
});

Then("no worker is reserved", function(this: World) {
    const reserved = [...this.fleet.state.workers.values()].filter(({ isReserved }) => isReserved);
    assert.deepEqual(reserved.map(({ id, pool }) => `${id} ${pool}`), []);
});

Then("the log has the entitlements of all pools", function(this: World) {
    const logged = this.fleet.log.flatMap((event) => event.kind === "entitlement" ? [event.pool] : []);
    assert.deepEqual([...new Set(logged)].sort(), [...pools].sort());
});

Then("the log has no entitlements", function(this: World) {
    assert.deepEqual(this.fleet.log.filter(({ kind }) => kind === "entitlement"), []);
});
