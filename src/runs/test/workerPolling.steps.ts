import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Clock } from "../../../standins/dispatch";
import { listTasks, plainSubmission } from "../../../standins/scheduling";
import { pause } from "../../clock";
import {
    addDueOccurrences,
    addRun,
    addSubmission,
    createDurationEstimates,
    createSchedulerState,
    createWorker,
    findTask,
    isComplete,
    type RunPhase,
    type SchedulerState,
    type Worker,
} from "../../schedule";
import { applyEnd, createWorkerPolling, type PollResult, type WorkerApi, type WorkerPolling } from "../index";

interface World {
    /** Installed by a hook for all scenarios of this folder. */
    clock: Clock;
    state: SchedulerState;
    worker: Worker;
    polling: WorkerPolling;
    pollCount: number;
    answer: (result: PollResult) => void;
    stopped: string[];
    dropped: string[];
    task: string;
    /** How long the store takes to record a change. */
    saveMs: number;
}

const id = "worker-1";
const bornMs = 1000;

/** What the worker's clock shows in its lists, in milliseconds. */
const listedClockMs = 1;

function addWorker(world: World): Worker {
    const worker = { ...createWorker(id, bornMs), address: id, isRegistered: true };
    world.state.workers.set(id, worker);
    return worker;
}

function createTestPolling(world: World): WorkerPolling {
    const taken = { kind: "taken", workerMs: 1 } as const;
    const api: WorkerApi = {
        start: () => Promise.resolve({ kind: "started", workerMs: 1 }),
        stop: (_worker, task) => {
            world.stopped.push(task);
            return Promise.resolve(taken);
        },
        pace: () => Promise.resolve(taken),
        poll: () => {
            world.pollCount++;
            return new Promise((resolve) => world.answer = resolve);
        },
    };
    return createWorkerPolling({
        api,
        tenure: { token: 1, condition: { key: "", revision: 1 }, isValid: () => true, mayInterrupt: () => true },
        clocks: { monotonicMs: () => performance.now(), suspendAwareMs: () => performance.now() },
        state: world.state,
        report() {},
        maxLeaseMs: 6000,
        applyEnd: (worker, end) =>
            applyEnd(worker, end, {
                state: world.state,
                estimates: createDurationEstimates(),
                nowMs: performance.now(),
                report() {},
                stop() {},
            }),
        async save() {
            await pause(world.saveMs);
            return true;
        },
        drop: ({ task }) => world.dropped.push(task.name),
        sendStops() {},
        onFenced() {},
        onIncarnationEnded() {},
        onOtherIncarnation() {},
        onListed() {},
        onChange() {},
    });
}

Given("a worker with a poll in flight", async function(this: World) {
    this.state = createSchedulerState();
    this.pollCount = 0;
    this.saveMs = 0;
    this.stopped = [];
    this.dropped = [];
    this.polling = createTestPolling(this);
    this.worker = addWorker(this);
    this.polling.ensurePolling(this.worker);
    await this.clock.advance(1);
    assert.equal(this.pollCount, 1);
});

When("an immediate poll is requested", function(this: World) {
    this.polling.pollNow(this.worker);
});

When("another record replaces the worker's", function(this: World) {
    addWorker(this);
});

When("{int} ms pass", async function(this: World, ms: number) {
    await this.clock.advance(ms);
});

function addTask(world: World, phase: RunPhase): void {
    const submission = plainSubmission("0000000000000001");
    const entry = addSubmission(world.state, submission, 1, false, 0);
    addDueOccurrences(entry, Date.now(), 0);
    const [task] = listTasks(entry);
    const worker = world.state.workers.get(id);
    assert.ok(task && worker);
    addRun(world.state, task, worker, 1, phase, 0);
    world.task = task.name;
}

When("a task is started on the worker", function(this: World) {
    addTask(this, "running");
});

When("a task of an earlier leader is read", function(this: World) {
    addTask(this, "unconfirmed");
});

When("a list with the task arrives", async function(this: World) {
    const row = { task: this.task, run: 1, checkpoint: "", percent: 5, measure: 0 };
    this.answer({ kind: "listed", workerMs: listedClockMs, bornMs, running: [row], ended: [], areEndsComplete: true });
    await this.clock.advance(50);
});

Given("the store takes {int} ms to record a change", function(this: World, ms: number) {
    this.saveMs = ms;
});

When("a list with the end of the task arrives", async function(this: World) {
    const ended = [{ number: 1, task: this.task, run: 1, how: "done", checkpoint: "" } as const];
    this.answer({ kind: "listed", workerMs: listedClockMs, bornMs, running: [], ended, areEndsComplete: true });
    await this.clock.advance(50);
});

Given("a copy of the task is started, and the task may fail once", function(this: World) {
    const task = findTask(this.state, this.task);
    assert.ok(task);
    task.entry.maxAttempts = 1;
    addRun(this.state, task, this.worker, 2, "running", 0);
});

When("a list arrives in which the first run has failed and the copy is done", async function(this: World) {
    const ended = [
        { number: 1, task: this.task, run: 1, how: "failed", checkpoint: "" },
        { number: 2, task: this.task, run: 2, how: "done", checkpoint: "" },
    ] as const;
    this.answer({ kind: "listed", workerMs: listedClockMs, bornMs, running: [], ended, areEndsComplete: true });
    await this.clock.advance(50);
});

Then("the submission is complete and has no failed task", function(this: World) {
    const [entry] = this.state.submissions.values();
    assert.ok(entry !== undefined && isComplete(entry));
    assert.equal(entry.failedCount, 0);
});

Then(/^the end (has been|has not been) acknowledged$/, function(this: World, state: string) {
    assert.equal(this.worker.ackedEnd, state === "has been" ? 1 : 0);
});

When(
    /^a list without runs and with (all|not all) of the ends arrives$/,
    async function(this: World, ends: string) {
        const areEndsComplete = ends === "all";
        this.answer({ kind: "listed", workerMs: listedClockMs, bornMs, running: [], ended: [], areEndsComplete });
        await this.clock.advance(50);
    },
);

Then(/^the task's run (has been|has not been) dropped$/, function(this: World, state: string) {
    assert.deepEqual(this.dropped, state === "has been" ? [this.task] : []);
});

Then("the upper bound of leases is {int} ms after the listed time", function(this: World, leaseMs: number) {
    assert.equal(this.worker.leaseUntilWorkerMs, listedClockMs + leaseMs);
});

Then("no other poll has been sent", function(this: World) {
    assert.equal(this.pollCount, 1);
});

Then("the task has not been stopped", function(this: World) {
    assert.deepEqual(this.stopped, []);
});
