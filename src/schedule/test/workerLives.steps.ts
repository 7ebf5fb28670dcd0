import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Board, createBoard, removeWorker, takeLife, type Worker } from "../index";

interface World {
    board: Board;
    told: Map<number, Worker | undefined>;
    endedMs: number[];
}

const id = "worker-1";

function tell(world: World, bornMs: number): void {
    world.told.set(bornMs, takeLife(world.board, id, bornMs, (earlier) => world.endedMs.push(earlier.bornMs)));
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
