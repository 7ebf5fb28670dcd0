import { After, Before, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Machine } from "../../src/machines";
import { decodeRecord, submissionKey } from "../../src/submissions";
import { type Clock, installClock } from "../../standins/dispatch";
import {
    countOrderedAway,
    createSchedulingWorld,
    findDoubleRun,
    plainPolicy,
    type SchedulingWorld,
    type StoreFault,
    type WorkerFault,
} from "../../standins/scheduling";

interface World {
    clock: Clock;
    world: SchedulingWorld;
    entries: number;
    workers: number;
    ids: string[];
    workMs: Map<string, number>;
    slow?: string;
}

setDefaultTimeout(60_000);

Before(function(this: World) {
    this.clock = installClock();
    this.world = createSchedulingWorld();
    this.ids = [];
    this.workMs = new Map();
    this.world.workers.setWorkMs((task) => this.workMs.get(task.split(".")[0] ?? "") ?? 500);
});

After(function(this: World) {
    this.world.close();
    this.clock.uninstall();
});

/** Stand-ins move on each few milliseconds. */
const stepMs = 10;

async function pass(world: World, ms: number): Promise<void> {
    for (let at = 0; at < ms; at += stepMs) {
        await world.clock.advance(stepMs);
        world.world.tick();
    }
}

function workerName(number: number): string {
    return `worker-${number}`;
}

function storesOf(world: World): readonly string[] {
    return Array.from({ length: world.entries }, (_, at) => `entry-${at + 1}`);
}

Given("{int} entry/entries and {int} worker(s)", async function(this: World, entries: number, workers: number) {
    this.entries = entries;
    this.workers = workers;
    for (let number = 1; number <= workers; number++) {
        this.world.addWorker(workerName(number));
    }
    for (let number = 1; number <= entries; number++) {
        this.world.addEntry(`entry-${number}`);
    }
    await pass(this, 200);
});

Given("reading all submissions takes {int} ms", function(this: World, ms: number) {
    this.world.store.slowDownRange("samphirepin/sub/", ms);
});

function spareMachines(count: number): readonly Machine[] {
    return Array.from({ length: count }, (_, at) => ({
        id: `spare-${at + 1}`,
        pool: "spare",
        state: "up",
        zone: "zone-a",
        labels: [],
        capacity: { cpuMillis: 4000, memoryMb: 16_000, accelerators: 0 },
        workerId: undefined,
    }));
}

function addStandby(world: World): void {
    const services = new Map(plainPolicy.services);
    services.set("spare", { name: "spare", rejectsOverload: false, isStandby: true, maxConnections: 64 });
    world.world.policy = { ...plainPolicy, services };
}

function listMachines(world: World): readonly string[] {
    const ids = Array.from({ length: world.workers }, (_, at) => `machine-${at + 1}`);
    world.world.setMachines(ids.map((id, at) => ({
        id,
        pool: "stalls",
        state: "up",
        zone: "zone-a",
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

When("the owner is stopped in the middle of a turn", function(this: World) {
    assert.deepEqual(this.world.machineOrders.filter((order) => order.startsWith("move")), []);
    this.world.owner()?.stop();
});

Then("idle machines have been parked", function(this: World) {
    assert.ok(this.world.machineOrders.some((order) => order.endsWith(" spare")), this.world.machineOrders.join(", "));
});

Given("a wave over all machines, {int} at once", function(this: World, maxDown: number) {
    startWave(this, 1, this.workers, maxDown);
});

Given("a wave over the worker's machine, {int} at once", function(this: World, maxDown: number) {
    const worker = {
        id: "machine-1",
        pool: "stalls",
        state: "up",
        zone: "zone-a",
        labels: [],
        capacity: { cpuMillis: 4000, memoryMb: 16_000, accelerators: 0 },
        workerId: workerName(1),
    } as const;
    this.world.setMachines([worker, ...spareMachines(3)]);
    this.world.waves = [{ wave: 1, machines: [worker.id], completeByS: 20, maxDown }];
});

When(
    "a submission comes whose {int} tasks serve on a worker together, and {int} may be away",
    function(this: World, count: number, maxUnavailable: number) {
        this.ids.push("e".repeat(16));
        this.workMs.set("e".repeat(16), Number.POSITIVE_INFINITY);
        this.world.submit("e".repeat(16), [{ count, maxUnavailable, isLongRunning: true }]);
    },
);

Then("the worker's machine went down once", function(this: World) {
    const orders = this.world.machineOrders.filter((order) => order.startsWith("maintain"));
    assert.deepEqual(orders, ["maintain machine-1 1"]);
});

Then("{int} tasks run on any worker", function(this: World, count: number) {
    assert.equal(this.world.workers.runningTasks().length, count);
});

When(
    "a wave over machines {int} to {int}, {int} at once",
    function(this: World, first: number, last: number, maxDown: number) {
        startWave(this, first, last, maxDown);
    },
);

When(
    "{int} submission(s) of {int} task(s) of {int} ms come(s)",
    async function(this: World, count: number, tasks: number, workMs: number) {
        for (let at = 0; at < count; at++) {
            const id = (this.ids.length + 1).toString(16).padStart(16, "0");
            this.ids.push(id);
            this.workMs.set(id, workMs);
            this.world.submit(id, [{ count: tasks, estimateMs: workMs }]);
        }
        await pass(this, 20);
    },
);

When(
    "a submission of {int} tasks of {int} ms comes that says {int} ms",
    function(this: World, count: number, workMs: number, estimateMs: number) {
        this.ids.push("c".repeat(16));
        this.workMs.set("c".repeat(16), workMs);
        this.world.submit("c".repeat(16), [{ count, estimateMs }]);
    },
);

When("a submission comes whose second step waits for the first", function(this: World) {
    this.ids.push("a".repeat(16));
    this.world.submit("a".repeat(16), [{ count: 3 }, { count: 2, after: [0] }]);
});

When("a submission comes whose {int} tasks serve on, and {int} may be away", function(
    this: World,
    count: number,
    maxUnavailable: number,
) {
    this.ids.push("d".repeat(16));
    this.workMs.set("d".repeat(16), Number.POSITIVE_INFINITY);
    this.world.submit("d".repeat(16), [{ count, maxUnavailable, isLongRunning: true, maxPerWorker: 1 }]);
});

Given("the store takes {int} ms for each answer", function(this: World, ms: number) {
    this.world.store.setAnswerMs(ms);
});

Given("a stop takes {int} ms", function(this: World, ms: number) {
    this.world.workers.setStopMs(ms);
});

When("a task is being stopped", async function(this: World) {
    for (let waitedMs = 0; countOrderedAway(this.world.workers.events) === 0 && waitedMs < 5000; waitedMs += stepMs) {
        await pass(this, stepMs);
    }
});

Then("at most {int} task(s) was/were away by order at once", function(this: World, most: number) {
    const away = countOrderedAway(this.world.workers.events);
    assert.ok(away <= most, `${away} tasks were away`);
});

When("{int} ms pass", async function(this: World, ms: number) {
    await pass(this, ms);
});

When("the owner is killed", function(this: World) {
    const owner = this.world.owner();
    assert.ok(owner);
    owner.kill();
});

When("the first machine is down", async function(this: World) {
    for (let waitedMs = 0; this.world.mostDown() === 0 && waitedMs < 5000; waitedMs += stepMs) {
        await pass(this, stepMs);
    }
});

When("the owner turns slow", function(this: World) {
    const owner = this.world.owner();
    assert.ok(owner);
    this.slow = owner.name;
    owner.setFit(false);
});

Then("another entry decides", function(this: World) {
    const name = this.world.owner()?.name;
    assert.ok(name !== undefined && name !== this.slow, `${name ?? "nobody"} decides`);
});

When("the owner is stopped", function(this: World) {
    const owner = this.world.owner();
    assert.ok(owner);
    owner.stop();
});

When("worker {int} is {string}", function(this: World, number: number, fault: WorkerFault) {
    this.world.workers.get(workerName(number)).fault = fault;
});

When("the worker that runs it is {string}", function(this: World, fault: WorkerFault) {
    const workers = Array.from({ length: this.workers }, (_, at) => this.world.workers.get(workerName(at + 1)));
    const busy = workers.find((worker) => worker.runningTasks().length > 0);
    assert.ok(busy);
    busy.fault = fault;
});

When("the worker that runs its first task crashes", function(this: World) {
    const name = `${this.ids[0] ?? ""}.0.0.0`;
    const workers = Array.from({ length: this.workers }, (_, at) => this.world.workers.get(workerName(at + 1)));
    const busy = workers.find((worker) => worker.runningTasks().includes(name));
    assert.ok(busy);
    busy.crash();
    this.world.store.remove(`workers/${busy.id}`);
});

Then("no task was stopped", function(this: World) {
    assert.deepEqual(this.world.workers.events.filter(({ kind }) => kind === "stopped"), []);
});

Then("{int} task(s) run(s)", function(this: World, count: number) {
    const workers = Array.from({ length: this.workers }, (_, at) => this.world.workers.get(workerName(at + 1)));
    assert.equal(workers.flatMap((worker) => worker.runningTasks()).length, count);
});

When("every worker is well", function(this: World) {
    for (let number = 1; number <= this.workers; number++) {
        this.world.workers.get(workerName(number)).fault = undefined;
    }
});

When("every worker is {string}", function(this: World, fault: WorkerFault) {
    for (let number = 1; number <= this.workers; number++) {
        this.world.workers.get(workerName(number)).fault = fault;
    }
});

When("worker {int} loses the next start", function(this: World, number: number) {
    this.world.workers.get(workerName(number)).lostStarts = 1;
});

When("worker {int} is well", function(this: World, number: number) {
    this.world.workers.get(workerName(number)).fault = undefined;
});

When("worker {int} crashes", function(this: World, number: number) {
    this.world.workers.get(workerName(number)).crash();
    this.world.store.remove(`workers/${workerName(number)}`);
});

When("the owner's store is {string}", function(this: World, fault: StoreFault) {
    this.world.store.setFault(this.world.owner()?.name ?? "", fault);
});

When("the owner's store is well", function(this: World) {
    storesOf(this).forEach((name) => this.world.store.setFault(name, undefined));
});

When("every store is {string}", function(this: World, fault: StoreFault) {
    storesOf(this).forEach((name) => this.world.store.setFault(name, fault));
});

When("every store is well", function(this: World) {
    storesOf(this).forEach((name) => this.world.store.setFault(name, undefined));
});

When("the store forgets its history", function(this: World) {
    this.world.store.forgetHistory();
});

When("the queue is removed", function(this: World) {
    this.world.policy = { ...this.world.policy, version: 2, routes: [] };
});

When("the submission is cancelled", function(this: World) {
    this.world.cancel(this.ids[0] ?? "");
});

Then("the new owner says nothing of a queue that it has not read", async function(this: World) {
    for (let waitedMs = 0; waitedMs < 6000; waitedMs += stepMs) {
        await pass(this, stepMs);
        const count = this.world.owner()?.scheduler()?.countPending("stalls");
        assert.ok(count !== 0, "the queue was shown as empty");
        if (count !== undefined) {
            return;
        }
    }
    assert.fail("no owner has counted the queue");
});

Then("{int} submission(s) is/are complete", function(this: World, count: number) {
    const states = this.ids.map((id) => {
        const record = decodeRecord(this.world.store.get(submissionKey(id))?.text ?? "");
        return record?.kind === "final" ? record.state : "open";
    });
    assert.equal(states.filter((state) => state === "complete").length, count, states.join(" "));
});

Then("the submission is shown as {string}", function(this: World, state: string) {
    assert.equal(this.world.owner()?.scheduler()?.findState(this.ids[0] ?? ""), state);
});

Then("nothing runs", function(this: World) {
    for (let number = 1; number <= this.workers; number++) {
        assert.deepEqual(this.world.workers.get(workerName(number)).runningTasks(), []);
    }
});

Then("no task lapsed", function(this: World) {
    assert.deepEqual(this.world.workers.events.filter(({ kind }) => kind === "lapsed"), []);
});

Then("its task was started {int} times", function(this: World, count: number) {
    assert.equal(this.world.workers.events.filter(({ kind }) => kind === "started").length, count);
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

Given("a wave over the standby pool comes, {int} at once", function(this: World, maxDown: number) {
    const machines = Array.from({ length: 4 }, (_, at) => `spare-${at + 1}`);
    this.world.waves = [{ wave: 1, machines, completeByS: 20, maxDown }];
});

Then("each machine of the standby pool went down once", function(this: World) {
    const expected = Array.from({ length: 4 }, (_, at) => `maintain spare-${at + 1} 1`);
    assert.deepEqual([...this.world.machineOrders].sort(), expected);
});

When("a submission comes whose {int} tasks bear no other on their worker", function(this: World, count: number) {
    this.ids.push("b".repeat(16));
    this.workMs.set("b".repeat(16), 5000);
    this.world.submit("b".repeat(16), [{ count, maxPerWorker: 1 }]);
});

When("the platform's list of machines lags by {int} ms", function(this: World, lagMs: number) {
    this.world.setListLag(lagMs);
});

Then("no task of the second step started before the first step was done", function(this: World) {
    const { events } = this.world.workers;
    const firstEnds = events.filter(({ kind, task }) => kind === "done" && task.includes(".0.0.")).map(({ atMs }) =>
        atMs
    );
    const secondStarts = events.filter(({ kind, task }) => kind === "started" && task.includes(".0.1."));
    assert.ok(secondStarts.length > 0 && secondStarts.every(({ atMs }) => atMs >= Math.max(...firstEnds)));
});

Then("no task ran twice", function(this: World) {
    assert.equal(findDoubleRun(this.world.workers.events), undefined);
});
