import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { plainStep, plainSubmission } from "../../../standins/scheduling";
import {
    addDueOccurrences,
    addRun,
    addSubmission,
    type Board,
    createBoard,
    removeWorker,
    type Run,
    type RunPhase,
    takeLife,
    tasksOf,
    type Worker,
} from "../index";

interface World {
    board: Board;
    told: Map<number, Worker | undefined>;
    endedMs: number[];
    run: Run;
}

const id = "worker-1";
const nowMs = 10_000;

function tell(world: World, bornMs: number): void {
    world.told.set(bornMs, takeLife(world.board, id, bornMs, nowMs, (earlier) => world.endedMs.push(earlier.bornMs)));
}

Before(function(this: World) {
    this.board = createBoard();
    this.told = new Map();
    this.endedMs = [];
});

Given("the life of {int} is on the board", function(this: World, bornMs: number) {
    tell(this, bornMs);
});

When("the life of {int} is told of", function(this: World, bornMs: number) {
    tell(this, bornMs);
});

Given("a run there that is {string}", function(this: World, phase: RunPhase) {
    const submission = plainSubmission("0000000000000001");
    const entry = addSubmission(this.board, submission, 1, false, nowMs);
    addDueOccurrences(entry, nowMs, nowMs);
    const [task] = tasksOf(entry);
    const worker = this.board.workers.get(id);
    assert.ok(task && worker);
    this.run = addRun(this.board, task, worker, 1, phase, nowMs);
});

Given("a list has shown the run", function(this: World) {
    this.run.seenAtMs = nowMs;
});

Given("its stop has been answered", function(this: World) {
    this.run.isStopSent = true;
    this.run.answeredAtMs = nowMs;
});

Then("the run is on the life of {int}", function(this: World, bornMs: number) {
    const { cpuMillis } = plainStep.size;
    for (const [life, worker] of this.told) {
        const isThere = life === bornMs;
        assert.equal(worker?.runs.has(this.run), isThere);
        assert.equal(worker?.used.cpuMillis, isThere ? cpuMillis : 0);
    }
    assert.equal(this.run.worker, this.told.get(bornMs));
    assert.equal(this.board.tenantUse.get("giza")?.cpuMillis, cpuMillis);
});

Then("its stop has to be sent", function(this: World) {
    assert.equal(this.run.isStopSent, false);
    assert.equal(this.run.answeredAtMs, Number.POSITIVE_INFINITY);
});

When("the record of the life of {int} is removed", function(this: World, bornMs: number) {
    const worker = this.told.get(bornMs);
    assert.ok(worker);
    removeWorker(this.board, worker);
});

Then("the board has the life of {int} alone", function(this: World, bornMs: number) {
    const known = [...this.board.workers].map(([key, worker]) => [key, worker.bornMs]);
    assert.deepEqual(known, [[id, bornMs]]);
    assert.equal(this.board.workers.get(id), this.told.get(bornMs));
});

Then("the life of {int} has ended", function(this: World, bornMs: number) {
    assert.deepEqual(this.endedMs, [bornMs]);
});

Then("no life has ended", function(this: World) {
    assert.deepEqual(this.endedMs, []);
});
