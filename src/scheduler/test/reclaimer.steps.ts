import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { PoolDemand } from "../../machines";
import { createDurationEstimates, createSchedulerState, createWorker } from "../../schedule";
import { createReclaimer, type OccupiedMachine, type Reclaimer } from "../createReclaimer";

interface World {
    machines: OccupiedMachine[];
    reclaimer: Reclaimer;
    chosen: OccupiedMachine;
}

const joinMs = 1750;
const capacity = { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 };

function demand(pool: string, count: number): PoolDemand {
    return {
        pool,
        isStandby: false,
        waitingCpuMillis: 0,
        unplaceableCpuMillis: 0,
        neededCpuMillis: 0,
        conformingNeedCpuMillis: 0,
        usedCpuMillis: 0,
        startableCpuMillis: 0,
        machineCpuMillis: capacity.cpuMillis,
        capacityCpuMillis: count * capacity.cpuMillis,
        comingCpuMillis: 0,
        reserveCpuMillis: 0,
        machineCount: count,
    };
}

/** Decides one round in which "stalls" is entitled to nothing. */
function decide({ reclaimer, machines }: World, vetsEntitledCpuMillis: number): void {
    const free = machines.filter(({ worker }) => !worker.isReserved).length;
    reclaimer.decide({
        pools: [demand("stalls", free), demand("vets", 0)],
        entitlements: new Map([["stalls", 0], ["vets", vetsEntitledCpuMillis]]),
        impossibleMoves: new Set(),
        machines,
        nowMs: 100_000,
    });
}

Given("{int} machines of \"stalls\" beyond its entitlement", function(this: World, count: number) {
    const state = createSchedulerState();
    this.reclaimer = createReclaimer({ state, estimates: createDurationEstimates(), joinMs });
    this.machines = Array.from({ length: count }, (_, at) => {
        const worker = Object.assign(createWorker(`worker-${at}`, 1), {
            pool: "stalls",
            capacity,
            isRegistered: true,
            runList: { kind: "read" as const, firstReadAtMs: 0, askedAtMs: 0 },
        });
        state.workers.set(worker.id, worker);
        return { machine: { id: `machine-${at}`, pool: "stalls", capacity }, worker };
    });
});

Given("one of them is reserved", function(this: World) {
    this.machines.slice(0, 1).forEach(({ worker }) => worker.isReserved = true);
});

When("a machine is reclaimed for \"vets\"", function(this: World) {
    decide(this, capacity.cpuMillis);
    const [chosen] = this.machines.filter(({ machine }) => this.reclaimer.reclaimed.has(machine.id));
    assert.ok(chosen);
    assert.equal(chosen.worker.isReserved, true);
    this.chosen = chosen;
});

When("a wave takes over the machine", function(this: World) {
    this.reclaimer.handOver((id) => id === this.chosen.machine.id);
    this.machines = this.machines.filter((machine) => machine !== this.chosen);
});

When("\"vets\" lacks nothing any more", function(this: World) {
    decide(this, 0);
    this.reclaimer.releaseAll();
});

Then("no worker of the machines is reserved", function(this: World) {
    assert.deepEqual(this.machines.filter(({ worker }) => worker.isReserved), []);
});

Then("the worker of the machine is reserved", function(this: World) {
    assert.equal(this.chosen.worker.isReserved, true);
});

Then("it is the other one", function(this: World) {
    assert.equal(this.chosen.machine.id, "machine-1");
});
