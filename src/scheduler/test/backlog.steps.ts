import { Before, Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { listTasks, plainPolicy, plainSubmission } from "../../../standins/scheduling";
import { excessWaitMs, type PoolBacklog } from "../../admission";
import type { IdleMachine, PoolDemand } from "../../machines";
import type { Policy } from "../../policy";
import {
    addDueOccurrences,
    addRun,
    addSubmission,
    createAccountLimits,
    createDurationEstimates,
    createSchedulerState,
    createWorker,
    type DurationEstimates,
    type SchedulerState,
    type SubmissionEntry,
    type Worker,
} from "../../schedule";
import { measureBacklog } from "../index";

interface World {
    backlogState: SchedulerState;
    backlogPolicy: Policy;
    durations: DurationEstimates;
    readDurations: number;
    idle: IdleMachine[];
    demand: PoolDemand;
    excess: Set<SubmissionEntry>;
}

const nowMs = 100_000;
const cap = { cpuMillis: 1000, memoryMb: 0, accelerators: 0 };

function createDemand(pool: string, waitingCpuMillis: number): PoolDemand {
    return {
        pool,
        isStandby: pool === "standby",
        waitingCpuMillis,
        unplaceableCpuMillis: 0,
        neededCpuMillis: 0,
        conformingNeedCpuMillis: 0,
        usedCpuMillis: 0,
        startableCpuMillis: 0,
        machineCpuMillis: 0,
        capacityCpuMillis: 0,
        comingCpuMillis: 0,
        reserveCpuMillis: 0,
        machineCount: 0,
    };
}

Before(function(this: World) {
    this.backlogState = createSchedulerState();
    this.backlogPolicy = plainPolicy;
    this.readDurations = 0;
    const durations = createDurationEstimates();
    this.durations = {
        ...durations,
        expectedDurationMs: (task) => {
            this.readDurations++;
            return durations.expectedDurationMs(task);
        },
    };
    this.idle = [];
    this.demand = createDemand("stalls", 0);
    this.excess = new Set();
});

function add(world: World, id: string, count: number, tenant: string, estimateMs: number, ageMs = 0): SubmissionEntry {
    const submission = plainSubmission(id, [{ count, estimateMs }]);
    const accepted = { ...submission, tenant, acceptedAtMs: nowMs - ageMs };
    const entry = addSubmission(world.backlogState, accepted, 1, false, nowMs);
    addDueOccurrences(entry, nowMs, nowMs);
    return entry;
}

function fill(world: World, worker: Worker, cores: number): void {
    // Submissions that run now and have nearly ended: their remaining work doesn't count.
    for (const task of listTasks(add(world, `run-${worker.id}`, cores, "other", 1))) {
        addRun(world.backlogState, task, worker, 1, "running", nowMs).percent = 100;
    }
}

Given("a pool of {int} workers with {int} cores, all in use", function(this: World, count: number, cores: number) {
    for (let at = 0; at < count; at++) {
        const worker = Object.assign(createWorker(`worker-${at}`, 1), {
            pool: "stalls",
            capacity: { cpuMillis: cores * 1000, memoryMb: 64_000, accelerators: 0 },
            isRegistered: true,
            runList: { kind: "read" as const, firstReadAtMs: 0, askedAtMs: 0 },
        });
        this.backlogState.workers.set(worker.id, worker);
        fill(this, worker, cores);
    }
});

Given("their run lists have not been read", function(this: World) {
    this.backlogState.workers.forEach((worker) => worker.runList = { kind: "unread" });
});

Given("the account of the waiting submissions may use no more", function(this: World) {
    this.backlogPolicy = { ...plainPolicy, tenants: [{ name: "giza", keys: [], weight: 1, cap }] };
    this.backlogState.tenantUse.set("giza", { cpuMillis: 1000, memoryMb: 100, accelerators: 0 });
});

function addWaiting(world: World, count: number, tasks: number, ms: number, ageMs = 0): readonly SubmissionEntry[] {
    world.demand = { ...world.demand, waitingCpuMillis: world.demand.waitingCpuMillis + count * tasks * 1000 };
    const first = world.backlogState.submissions.size;
    return Array.from({ length: count }, (_, at) => add(world, `wait-${first + at}`, tasks, "giza", ms, ageMs));
}

Given(
    "{int} conforming submissions of {int} tasks of 1 core and {int} ms wait",
    function(this: World, count: number, tasks: number, ms: number) {
        addWaiting(this, count, tasks, ms);
    },
);

Given(
    /^(\d+) excess submissions of (\d+) tasks of 1 core and (\d+) ms wait, (late|in time)$/,
    function(this: World, count: string, tasks: string, ms: string, timeliness: string) {
        const entries = addWaiting(this, Number(count), Number(tasks), Number(ms), timeliness === "late" ? 10_000 : 0);
        entries.forEach((entry) => this.excess.add(entry));
    },
);

Given(
    "{int} idle machines of {int} cores in pool {string}",
    function(this: World, count: number, cores: number, pool: string) {
        this.idle = Array.from({ length: count }, (_, at) => ({
            id: `idle-${at}`,
            pool,
            cpuMillis: cores * 1000,
            idleMs: 0,
            isEvacuated: false,
            isReclaimed: false,
        }));
    },
);

Given("{int} cores on their way to the pool", function(this: World, cores: number) {
    this.demand = { ...this.demand, comingCpuMillis: cores * 1000 };
});

function measureAll(world: World): readonly PoolBacklog[] {
    const limits = createAccountLimits();
    limits.applyPolicy(world.backlogPolicy);
    return measureBacklog({
        capOf: limits.capOf,
        state: world.backlogState,
        policy: world.backlogPolicy,
        estimates: world.durations,
        demand: [world.demand, createDemand("standby", 0), createDemand("busy", 100_000)],
        idle: world.idle,
        isExcess: (entry) => world.excess.has(entry),
        nowMs,
        timeOfDayMs: nowMs,
    });
}

function measure(world: World): PoolBacklog {
    const backlog = measureAll(world).find(({ pool }) => pool === "stalls");
    assert.ok(backlog);
    return backlog;
}

Then("the backlog is {int} core-seconds on {int} cores", function(this: World, workS: number, cores: number) {
    const { workCoreMs, capacityCpuMillis } = measure(this);
    assert.deepEqual([Math.round(workCoreMs / 1000), capacityCpuMillis / 1000], [workS, cores]);
});

Then("a new excess submission waits {int} ms", function(this: World, ms: number) {
    assert.equal(excessWaitMs(measure(this)), ms);
});

Then("there is no backlog", function(this: World) {
    this.demand = createDemand("stalls", 0);
    const backlogs = measureAll(this).filter(({ pool }) => pool === "stalls");
    assert.deepEqual(backlogs, []);
});

Then("measuring {int} times computes each estimate once", function(this: World, count: number) {
    measure(this);
    const { readDurations } = this;
    assert.ok(readDurations > 0);
    Array.from({ length: count - 1 }, () => measure(this));
    assert.equal(this.readDurations, readDurations);
});
