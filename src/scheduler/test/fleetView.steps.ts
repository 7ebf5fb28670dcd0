import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Machine, MachineOrder, MachineOrderResult, MachineState } from "../../machines";
import { createSchedulerState, createWorker, type Run, type SchedulerState, type Worker } from "../../schedule";
import { createFleetView, type FleetView } from "../createFleetView";

interface World {
    nowMs: number;
    machine: Machine;
    state: SchedulerState;
    worker: Worker;
    view: FleetView;
    polled: Worker[];
    ended: Worker[];
    answer: (result: MachineOrderResult) => void;
}

const move: MachineOrder = { kind: "move", machine: "machine-1", pool: "offices" };

/** Time between two reads of the machine list, in milliseconds. */
const listIntervalMs = 400;

function createView(world: World): FleetView {
    return createFleetView({
        state: world.state,
        clocks: { monotonicMs: () => world.nowMs, suspendAwareMs: () => world.nowMs },
        report() {},
        machines: {
            list: () => Promise.resolve({ kind: "machines", machines: [world.machine] }),
            move: () => assert.fail("the view sends orders only through MachineOrders"),
            maintain: () => assert.fail("the view sends orders only through MachineOrders"),
        },
        orders: {
            load: () => Promise.resolve(true),
            isBlocked: () => false,
            begun: () => new Set(),
            waveSeenAtMs: () => 0,
            send(_orders, onResult) {
                world.answer = (result) => onResult(move, result);
                return Promise.resolve();
            },
        },
        maintenanceMs: 2000,
        standby: () => undefined,
        evacuatedZones: () => new Set(),
        pollNow: (worker) => world.polled.push(worker),
        onIncarnationEnded: (worker) => world.ended.push(worker),
    });
}

function addWorker(world: World, bornMs: number): void {
    world.worker = createWorker("worker-1", bornMs);
    world.worker.isRegistered = true;
    world.worker.runList = { kind: "read", firstReadAtMs: 0, askedAtMs: 0 };
    world.state.workers.set(world.worker.id, world.worker);
}

async function readList(world: World): Promise<void> {
    world.nowMs += listIntervalMs;
    await world.view.refresh();
}

Before(async function(this: World) {
    this.nowMs = 10_000;
    this.polled = [];
    this.ended = [];
    this.state = createSchedulerState();
    this.machine = {
        id: "machine-1",
        pool: "stalls",
        state: "up",
        zone: "zone-a",
        labels: [],
        capacity: { cpuMillis: 4000, memoryMb: 16_000, accelerators: 0 },
        workerId: "worker-1",
    };
    this.view = createView(this);
    addWorker(this, 1);
    await readList(this);
});

Given("a machine whose worker has no runs", function(this: World) {
    assert.equal(this.worker.runs.size, 0);
});

Given("a machine whose worker has runs", function(this: World) {
    this.worker.runs.add({} as Run);
});

When("an order for it is sent", function(this: World) {
    this.view.send([move]);
});

When("an order for it is sent and answered as done", function(this: World) {
    this.view.send([move]);
    this.answer({ kind: "done" });
});

When("its worker does not answer", function(this: World) {
    this.worker.isReachable = false;
});

When("its next worker has the same id", function(this: World) {
    addWorker(this, 2);
});

When("the list shows it {word}", async function(this: World, state: MachineState) {
    this.machine = { ...this.machine, state };
    await readList(this);
});

When("its worker answers", async function(this: World) {
    this.nowMs += 10;
    this.worker.runList = { kind: "read", firstReadAtMs: 0, askedAtMs: this.nowMs };
    await this.view.refresh();
});

Then("its worker is polled", function(this: World) {
    assert.deepEqual(this.polled, [this.worker]);
});

Then("its worker has ended", function(this: World) {
    assert.deepEqual(this.ended, [this.worker]);
});

Then("its worker has not ended", function(this: World) {
    assert.deepEqual(this.ended, []);
});

Then("another order for the machine may be sent", function(this: World) {
    assert.equal(this.view.isOrderable("machine-1"), true);
});

Then("no other order for the machine may be sent", function(this: World) {
    assert.equal(this.view.isOrderable("machine-1"), false);
});

Then("its worker takes work", function(this: World) {
    assert.equal(this.worker.isReserved, false);
});
