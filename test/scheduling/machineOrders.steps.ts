import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { MachineOrderFault } from "../../standins/scheduling";
import { pass, stepMs, type World } from "./world";

/** How long a list is read that shows a machine away, in milliseconds; within the time that it was. */
const shownAwayMs = 700;

async function awaitCall(world: World, isAwaited: (calls: readonly string[]) => boolean): Promise<void> {
    const { machineCalls } = world.world;
    for (let waitedMs = 0; !isAwaited(machineCalls) && waitedMs < 10_000; waitedMs += stepMs) {
        await pass(world, stepMs);
    }
    assert.ok(isAwaited(machineCalls), machineCalls.join(", "));
}

When("orders to machines are {string}", function(this: World, fault: MachineOrderFault) {
    this.world.machineOrderFault = fault;
});

When("orders to machines are well", function(this: World) {
    this.world.machineOrderFault = undefined;
});

When("an upkeep is ordered", async function(this: World) {
    await awaitCall(this, (calls) => calls.length > 0);
});

When("an upkeep is ordered again", async function(this: World) {
    await awaitCall(this, (calls) => new Set(calls).size < calls.length);
});

Given("workers keep their ids", function(this: World) {
    this.world.areIdsKept = true;
});

When("the entry of the machine's worker is missing for {int} ms", async function(this: World, ms: number) {
    const { store } = this.world;
    const key = `workers/${this.world.listed()[0]?.workerId ?? ""}`;
    const text = store.get(key)?.text;
    assert.ok(text !== undefined, key);
    store.remove(key);
    await pass(this, ms);
    store.put(key, text);
    await pass(this, ms);
});

When("another worker joins", async function(this: World) {
    this.world.addWorker("another-worker");
    await pass(this, 300);
});

Given("entries of workers that have left stay for {int} ms", function(this: World, ms: number) {
    this.world.staleEntryMs = ms;
});

Then("{int} worker(s) is/are left in the pool", function(this: World, count: number) {
    const machines = this.world.listed().filter(({ pool }) => pool === "stalls");
    assert.equal(machines.length, count, this.world.machineOrders.join(", "));
});

When("the list of machines shows the first one away again", async function(this: World) {
    const [machine] = this.world.listed();
    assert.equal(machine?.state, "up");
    const isAway = async () => {
        const result = await this.world.machines.list();
        return result.kind === "machines" && result.machines[0]?.state !== "up";
    };
    let lagMs = 0;
    while (!await isAway()) {
        lagMs += stepMs;
        this.world.setListLag(lagMs);
    }
    this.world.setListLag(lagMs + shownAwayMs);
    await pass(this, shownAwayMs);
    assert.ok(await isAway());
    this.world.setListLag(0);
});

Then("no task was cut off", function(this: World) {
    assert.deepEqual(this.world.workers.events.filter(({ kind }) => kind === "crashed"), []);
});

When("the machine's worker gives way to another one", function(this: World) {
    const [machine, ...others] = this.world.listed();
    assert.ok(machine?.workerId !== undefined);
    this.world.workers.get(machine.workerId).crash();
    this.world.store.remove(`workers/${machine.workerId}`);
    const workerId = `${machine.workerId}*`;
    this.world.addWorker(workerId);
    this.world.setMachines([{ ...machine, workerId }, ...others]);
});
