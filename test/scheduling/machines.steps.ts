import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Machine } from "../../src/machines";
import { plainPolicy } from "../../standins/scheduling";
import { pass, stepMs, workerName, type World } from "./world";

function spareMachines(count: number, cores = 4): readonly Machine[] {
    return Array.from({ length: count }, (_, at) => ({
        id: `spare-${at + 1}`,
        pool: "spare",
        state: "up",
        zone: "zone-a",
        labels: [],
        capacity: { cpuMillis: cores * 1000, memoryMb: 16_000, accelerators: 0 },
        workerId: undefined,
    }));
}

export function addStandby(world: World): void {
    const services = new Map(plainPolicy.pools);
    services.set("spare", { name: "spare", rejectsOverload: false, isStandby: true, maxConnections: 64 });
    world.world.policy = { ...plainPolicy, pools: services };
}

/** The machines of all workers, each in its worker's zone. */
export function listMachines(world: World): readonly string[] {
    const ids = Array.from({ length: world.workers }, (_, at) => `machine-${at + 1}`);
    world.world.setMachines(ids.map((id, at) => ({
        id,
        pool: "stalls",
        state: "up",
        zone: world.world.zones.get(workerName(at + 1)) ?? "zone-a",
        labels: [],
        capacity: { cpuMillis: 4000, memoryMb: 16_000, accelerators: 0 },
        workerId: workerName(at + 1),
    })));
    return ids;
}

function startWave(world: World, first: number, last: number, maxDown: number): void {
    const isFirst = world.world.waves.length === 0;
    const ids = isFirst ? listMachines(world) : Array.from({ length: world.workers }, (_, at) => `machine-${at + 1}`);
    const wave = world.world.waves.length + 1;
    // The newest first, so that a new owner looks at other machines than the owner before.
    world.world.waves.unshift({ wave, machines: ids.slice(first - 1, last), completeByS: 20, maxDown });
}

Given("the workers' machines can be parked", function(this: World) {
    addStandby(this);
    listMachines(this);
});

Then("idle machines have been parked", function(this: World) {
    assert.ok(this.world.machineOrders.some((order) => order.endsWith(" spare")), this.world.machineOrders.join(", "));
});

Given("a wave over all machines, {int} at once", function(this: World, maxDown: number) {
    startWave(this, 1, this.workers, maxDown);
});

/** The machines of the workers, and some in standby. */
function listWithSpare(world: World, spare: number): readonly string[] {
    const ids = listMachines(world);
    world.world.setMachines([...world.world.listed(), ...spareMachines(spare)]);
    return ids;
}

function startWaveOverWorkers(world: World, spare: number, maxDown: number, completeByS: number): void {
    world.world.waves = [{ wave: 1, machines: listWithSpare(world, spare), completeByS, maxDown }];
}

Given("{int} idle machines are in the standby pool beside those of the workers", function(this: World, count: number) {
    addStandby(this);
    listWithSpare(this, count);
});

When("a wave over the machines of the workers comes, {int} at once", function(this: World, maxDown: number) {
    const machines = Array.from({ length: this.workers }, (_, at) => `machine-${at + 1}`);
    this.world.waves = [{ wave: 1, machines, completeByS: 60, maxDown }];
});

Given("a wave over the worker's machine, {int} at once", function(this: World, maxDown: number) {
    startWaveOverWorkers(this, 3, maxDown, 20);
});

Given(
    "a wave over the machines of the workers, {int} at once, complete by {int} s",
    function(this: World, maxDown: number, completeByS: number) {
        startWaveOverWorkers(this, 6, maxDown, completeByS);
    },
);

Then("the machines of the workers went down once each", function(this: World) {
    const orders = this.world.machineOrders.filter((order) => order.startsWith("maintain")).sort();
    assert.deepEqual(orders, Array.from({ length: this.workers }, (_, at) => `maintain machine-${at + 1} 1`));
});

Then("the worker's machine went down once", function(this: World) {
    const orders = this.world.machineOrders.filter((order) => order.startsWith("maintain"));
    assert.deepEqual(orders, ["maintain machine-1 1"]);
});

When(
    "a wave over machines {int} to {int}, {int} at once",
    function(this: World, first: number, last: number, maxDown: number) {
        startWave(this, first, last, maxDown);
    },
);

When("the first machine is down", async function(this: World) {
    for (let waitedMs = 0; this.world.mostDown() === 0 && waitedMs < 5000; waitedMs += stepMs) {
        await pass(this, stepMs);
    }
});

Then("each machine went down once", function(this: World) {
    const expected = this.world.waves.flatMap(({ wave, machines }) => machines.map((id) => `maintain ${id} ${wave}`));
    assert.deepEqual([...this.world.machineOrders].sort(), expected.sort());
});

Then("at most {int} machine(s) was/were down at once", function(this: World, most: number) {
    assert.ok(this.world.mostDown() <= most, `${this.world.mostDown()} machines were down at once`);
});

Then("at most {int} machine(s) was/were down for the wave at once", function(this: World, most: number) {
    assert.ok(this.world.mostMaintained() <= most, `${this.world.mostMaintained()} machines were down at once`);
});

Given("{int} idle machines are in the standby pool", function(this: World, count: number) {
    addStandby(this);
    this.world.setMachines(spareMachines(count));
});

Given(
    "{int} idle machines of {int} cores are in the standby pool",
    function(this: World, count: number, cores: number) {
        addStandby(this);
        this.world.setMachines(spareMachines(count, cores));
    },
);

Given("a wave over the standby pool comes, {int} at once", function(this: World, maxDown: number) {
    const machines = Array.from({ length: 4 }, (_, at) => `spare-${at + 1}`);
    this.world.waves = [{ wave: 1, machines, completeByS: 20, maxDown }];
});

Then("each machine of the standby pool went down once", function(this: World) {
    const expected = Array.from({ length: 4 }, (_, at) => `maintain spare-${at + 1} 1`);
    assert.deepEqual([...this.world.machineOrders].sort(), expected);
});

When("the platform's list of machines lags by {int} ms", function(this: World, lagMs: number) {
    this.world.setListLag(lagMs);
});
