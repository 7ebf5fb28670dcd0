import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Clock } from "../../../standins/dispatch";
import { plainSubmission } from "../../../standins/scheduling";
import {
    addDueOccurrences,
    addRun,
    addSubmission,
    createSchedulerState,
    createWorker,
    type RunPhase,
    type SchedulerState,
    tasksOf,
    type Worker,
} from "../../schedule";
import { createWorkerPolling, type PollResult, type WorkerApi, type WorkerPolling } from "../index";

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
        applyEnd: () => undefined,
        save: () => Promise.resolve(true),
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
    const [task] = tasksOf(entry);
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
