import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { plainPolicy, plainSubmission } from "../../../standins/scheduling";
import { createDemandMeter, type PoolDemand } from "../../machines";
import type { Policy } from "../../policy";
import {
    addDueOccurrences,
    addSubmission,
    createDurationEstimates,
    createSchedulerState,
    createWorker,
    type SchedulerState,
} from "../../schedule";
import type { Step } from "../../submissions";
import { measureDemand } from "../index";

interface World {
    state: SchedulerState;
    policy: Policy;
    nowMs: number;
}

const startMs = 100_000;
const joinMs = 2000;

Before(function(this: World) {
    this.state = createSchedulerState();
    this.policy = { ...plainPolicy, tenants: [] };
    this.nowMs = startMs;
});

Given("a pool with {int} worker(s) of {int} cores", function(this: World, count: number, cores: number) {
    for (let at = 0; at < count; at++) {
        const worker = Object.assign(createWorker(`worker-${at + 1}`, 1), {
            pool: "stalls",
            capacity: { cpuMillis: cores * 1000, memoryMb: 64_000, accelerators: 0 },
            isRegistered: true,
            runList: { kind: "read" as const, firstReadAtMs: 0, askedAtMs: 0 },
        });
        this.state.workers.set(worker.id, worker);
    }
});

function setCap(world: World, name: string, cores: number): void {
    const cap = { cpuMillis: cores * 1000, memoryMb: 0, accelerators: 0 };
    world.policy = { ...world.policy, tenants: [...world.policy.tenants, { name, keys: [], weight: 1, cap }] };
}

Given("the account {string} may have {int} cores", function(this: World, name: string, cores: number) {
    setCap(this, name, cores);
});

function sizeOf(cores: number): Step["size"] {
    return { cpuMillis: cores * 1000, memoryMb: 100, accelerators: 0 };
}

function addSubmissions(world: World, tenant: string, count: number, step: Partial<Step>): void {
    for (let at = 0; at < count; at++) {
        const submission = plainSubmission(`${tenant}-${at}`, [step]);
        const entry = addSubmission(world.state, { ...submission, tenant, acceptedAtMs: startMs }, 1, false, startMs);
        addDueOccurrences(entry, startMs, startMs);
    }
}

When(
    "{string} sends {int} submission(s) of {int} tasks of {int} core(s)",
    function(this: World, tenant: string, count: number, tasks: number, cores: number) {
        addSubmissions(this, tenant, count, { count: tasks, size: sizeOf(cores) });
    },
);

When("{string} sends a gang of {int} tasks of {int} core", function(
    this: World,
    tenant: string,
    tasks: number,
    cores: number,
) {
    addSubmissions(this, tenant, 1, { count: tasks, size: sizeOf(cores), isGang: true });
});

When("{string} sends {int} submission(s) of {int} long-running task(s) with label {string}", function(
    this: World,
    tenant: string,
    count: number,
    tasks: number,
    workerLabel: string,
) {
    addSubmissions(this, tenant, count, { count: tasks, isLongRunning: true, workerLabel, size: sizeOf(1) });
});

When("{string} sends a submission of {int} task(s) with {int} MB", function(
    this: World,
    tenant: string,
    tasks: number,
    memoryMb: number,
) {
    addSubmissions(this, tenant, 1, { count: tasks, size: { ...sizeOf(1), memoryMb } });
});

Then("{int} core(s) is/are unplaceable", function(this: World, cores: number) {
    assert.equal(measure(this).unplaceableCpuMillis / 1000, cores);
});

function measure({ state, policy, nowMs }: World): PoolDemand {
    const [demand] = measureDemand({
        state,
        policy,
        estimates: createDurationEstimates(),
        meter: createDemandMeter(joinMs),
        nowMs,
        comingCpuMillis: () => 0,
        timeOfDayMs: nowMs,
        joinMs,
        hosts: [...state.workers.values()],
    });
    assert.ok(demand);
    return demand;
}

Then("the pool needs {int} cores", function(this: World, cores: number) {
    assert.equal(Math.round(measure(this).neededCpuMillis / 1000), cores);
});

When(
    "each worker has {int} cores and {int} MB in use for {int} ms",
    function(this: World, cores: number, memoryMb: number, ms: number) {
        for (const worker of this.state.workers.values()) {
            worker.used = { cpuMillis: cores * 1000, memoryMb, accelerators: 0 };
        }
        this.nowMs = startMs + ms;
    },
);

Then("its waiting tasks could use {int} cores", function(this: World, cores: number) {
    assert.equal(measure(this).startableCpuMillis / 1000, cores);
});

When(
    /^(\d+) workers (ended runs|joined) (\d+) ms ago$/,
    function(this: World, count: number, change: string, agoMs: number) {
        const atMs = this.nowMs - agoMs;
        for (const worker of [...this.state.workers.values()].slice(0, count)) {
            Object.assign(
                worker,
                change === "joined"
                    ? { runList: { kind: "read", firstReadAtMs: atMs, askedAtMs: atMs } }
                    : { idleSinceMs: atMs },
            );
        }
    },
);
