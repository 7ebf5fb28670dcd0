import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { listTasks, plainStep, plainSubmission } from "../../../standins/scheduling";
import {
    addDueOccurrences,
    addRun,
    addSubmission,
    createSchedulerState,
    ensureIncarnation,
    removeWorker,
    type Run,
    type RunPhase,
    type SchedulerState,
    type Worker,
} from "../index";

interface World {
    state: SchedulerState;
    /** Workers that were returned for the reported incarnations, by `bornMs`. */
    reported: Map<number, Worker | undefined>;
    /** `bornMs` of the incarnations that have ended. */
    endedMs: number[];
    run: Run;
}

const id = "worker-1";
const nowMs = 10_000;

function reportIncarnation(world: World, bornMs: number): void {
    world.reported.set(
        bornMs,
        ensureIncarnation(world.state, id, bornMs, nowMs, (earlier) => world.endedMs.push(earlier.bornMs)),
    );
}

Before(function(this: World) {
    this.state = createSchedulerState();
    this.reported = new Map();
    this.endedMs = [];
});

Given("the state has the incarnation started at {int}", function(this: World, bornMs: number) {
    reportIncarnation(this, bornMs);
});

When("the incarnation started at {int} is reported", function(this: World, bornMs: number) {
    reportIncarnation(this, bornMs);
});

Given("it has a run that is {string}", function(this: World, phase: RunPhase) {
    const submission = plainSubmission("0000000000000001");
    const entry = addSubmission(this.state, submission, 1, false, nowMs);
    addDueOccurrences(entry, nowMs, nowMs);
    const [task] = listTasks(entry);
    const worker = this.state.workers.get(id);
    assert.ok(task && worker);
    this.run = addRun(this.state, task, worker, 1, phase, nowMs);
});

Given("a run list has contained the run", function(this: World) {
    this.run.firstListedAtMs = nowMs;
});

Given("the stop request has been answered", function(this: World) {
    this.run.isStopSent = true;
    this.run.answeredAtMs = nowMs;
});

Then("the run is on the incarnation started at {int}", function(this: World, bornMs: number) {
    const { cpuMillis } = plainStep.size;
    for (const [reportedMs, worker] of this.reported) {
        const isThere = reportedMs === bornMs;
        assert.equal(worker?.runs.has(this.run), isThere);
        assert.equal(worker?.used.cpuMillis, isThere ? cpuMillis : 0);
    }
    assert.equal(this.run.worker, this.reported.get(bornMs));
    assert.equal(this.state.tenantUse.get("giza")?.cpuMillis, cpuMillis);
});

Then("the stop request has to be sent again", function(this: World) {
    assert.equal(this.run.isStopSent, false);
    assert.equal(this.run.answeredAtMs, Number.POSITIVE_INFINITY);
});

When("the incarnation started at {int} is removed", function(this: World, bornMs: number) {
    const worker = this.reported.get(bornMs);
    assert.ok(worker);
    removeWorker(this.state, worker);
});

Then("the state has only the incarnation started at {int}", function(this: World, bornMs: number) {
    const known = [...this.state.workers].map(([key, worker]) => [key, worker.bornMs]);
    assert.deepEqual(known, [[id, bornMs]]);
    assert.equal(this.state.workers.get(id), this.reported.get(bornMs));
});

Then("the incarnation started at {int} has ended", function(this: World, bornMs: number) {
    assert.deepEqual(this.endedMs, [bornMs]);
});

Then("no incarnation has ended", function(this: World) {
    assert.deepEqual(this.endedMs, []);
});
