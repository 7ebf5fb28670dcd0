import { After, Before, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { progressKey } from "../../src/progress";
import { decodeRecord, submissionKey } from "../../src/submissions";
import { installClock } from "../../standins/dispatch";
import {
    countOrderedAway,
    createSchedulingWorld,
    findDoubleRun,
    type StoreFault,
    type WorkerFault,
} from "../../standins/scheduling";
import { pass, stepMs, storesOf, workerName, type World } from "./world";

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

When("no standby hears the leader", function(this: World) {
    this.world.isLeaderHeard = false;
});

When("standbys hear the leader again", function(this: World) {
    this.world.isLeaderHeard = true;
});

Given("every entry is busy", function(this: World) {
    this.world.areBusy = true;
});

When("the owner's peers freeze for {int} ms", async function(this: World, ms: number) {
    const owner = this.world.owner()?.name;
    const frozen = storesOf(this).filter((name) => name !== owner);
    frozen.forEach((name) => this.world.network.frozen.add(name));
    await pass(this, ms);
    frozen.forEach((name) => this.world.network.wake(name));
});

When("the owner is stopped in the middle of a turn", function(this: World) {
    assert.deepEqual(this.world.machineOrders.filter((order) => order.startsWith("move")), []);
    this.world.owner()?.stop();
});

When(
    "a submission comes whose {int} task(s) serve(s) on a worker together, and {int} may be away",
    function(this: World, count: number, maxUnavailable: number) {
        const id = this.ids.length.toString(16).padStart(16, "e");
        this.ids.push(id);
        this.workMs.set(id, Number.POSITIVE_INFINITY);
        this.world.submit(id, [{ count, maxUnavailable, isLongRunning: true }]);
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

Then("no task is stopped", function(this: World) {
    assert.equal(countOrderedAway(this.world.workers.events), 0);
});

When("{int} ms pass", async function(this: World, ms: number) {
    await pass(this, ms);
});

When("the owner is killed", function(this: World) {
    const owner = this.world.owner();
    assert.ok(owner);
    owner.kill();
});

When(
    "the owner freezes for {int} ms, and a submission comes and is cancelled meanwhile",
    async function(this: World, ms: number) {
        const owner = this.world.owner();
        assert.ok(owner);
        owner.freeze();
        await pass(this, ms / 2);
        this.ids.push("f".repeat(16));
        this.world.submit("f".repeat(16), [{}]);
        this.world.cancel("f".repeat(16));
        await pass(this, ms / 2);
        owner.wake();
    },
);

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
    assert.equal(this.world.workers.runningTasks().length, count);
});

Then("{int} worker(s) is/are in use", function(this: World, count: number) {
    const names = Array.from({ length: this.workers }, (_, at) => workerName(at + 1));
    const used = names.filter((name) => this.world.workers.get(name).runningTasks().length > 0);
    assert.equal(used.length, count);
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
    this.world.policy = { ...this.world.policy, version: 2, queues: [] };
});

When("a progress record of the submission is written late", function(this: World) {
    this.world.store.put(progressKey(this.ids[0] ?? ""), JSON.stringify({ tasks: [] }));
});

Then("the store holds nothing of the submission", function(this: World) {
    const [id = ""] = this.ids;
    assert.deepEqual([submissionKey(id), progressKey(id)].map((key) => this.world.store.get(key)), [
        undefined,
        undefined,
    ]);
});

When("the submission is cancelled", function(this: World) {
    this.world.cancel(this.ids[0] ?? "");
    this.cancelledRevision = this.world.store.get(submissionKey(this.ids[0] ?? ""))?.revision;
});

When("watches of {string} are told of the cancellation", function(this: World, prefix: string) {
    this.world.store.holdWatches(prefix, this.cancelledRevision);
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

Then("the store has the submission as {string}", function(this: World, state: string) {
    const record = decodeRecord(this.world.store.get(submissionKey(this.ids[0] ?? ""))?.text ?? "");
    assert.equal(record?.kind === "final" ? record.state : record?.kind, state);
});

Then("the submission is shown as {string}", function(this: World, state: string) {
    assert.equal(this.world.owner()?.scheduler()?.findState(this.ids[0] ?? ""), state);
});

Then("nothing runs", function(this: World) {
    for (let number = 1; number <= this.workers; number++) {
        assert.deepEqual(this.world.workers.get(workerName(number)).runningTasks(), []);
    }
});

Then(
    "the log tells that {int} run(s) was/were given up for {string} on a worker that had been listed",
    function(this: World, count: number, cause: string) {
        const dropped = this.world.owner()?.log.flatMap((event) => event.kind === "runDropped" ? [event] : []) ?? [];
        const told = dropped.filter((event) =>
            event.cause === cause && event.runList === "read" && event.clockFrom === "list"
            && (event.leaseLeftMs ?? 0) < 0
        );
        assert.equal(told.length, count);
    },
);

Then(
    "the log tells that {int} run(s) that was/were given up showed again as {string}",
    function(this: World, count: number, state: string) {
        const log = this.world.owner()?.log ?? [];
        const reappeared = log.filter((event) => event.kind === "runReappeared" && event.state === state);
        assert.equal(reappeared.length, count);
    },
);

Then("no task lapsed", function(this: World) {
    assert.deepEqual(this.world.workers.events.filter(({ kind }) => kind === "lapsed"), []);
});

Then("its task was started {int} times", function(this: World, count: number) {
    assert.equal(this.world.workers.events.filter(({ kind }) => kind === "started").length, count);
});

When("a submission comes whose {int} tasks bear no other on their worker", function(this: World, count: number) {
    this.ids.push("b".repeat(16));
    this.workMs.set("b".repeat(16), 5000);
    this.world.submit("b".repeat(16), [{ count, maxPerWorker: 1 }]);
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
