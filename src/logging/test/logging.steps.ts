import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Writable } from "node:stream";
import { createLineSink, type LineSink } from "../createLineSink";

interface World {
    sink: LineSink;
    written: string;
    writes: string[];
}

After(function(this: World) {
    this.sink.close();
});

function createSink(world: World, output: Writable): void {
    world.written = "";
    world.writes = [];
    world.sink = createLineSink({ output, linesPerSecond: 10, isUnbounded: (kind) => kind === "duty" });
}

Given("a sink that accepts {int} lines of a kind per second", function(this: World, _count: number) {
    createSink(
        this,
        new Writable({
            write: (chunk, _encoding, done) => {
                this.written += String(chunk);
                this.writes.push(String(chunk));
                done();
            },
        }),
    );
});

Given("a sink whose reader has stopped reading", function(this: World) {
    createSink(
        this,
        new Writable({
            write: (chunk) => {
                // The write never completes, as with a full pipe.
                this.written += String(chunk);
            },
        }),
    );
});

When(
    "{int} lines of {string} and {int} line(s) of {string} are logged",
    function(this: World, count: number, kind: string, others: number, other: string) {
        const kinds = [...Array.from({ length: count }, () => kind), ...Array.from({ length: others }, () => other)];
        for (const [at, each] of kinds.entries()) {
            if (this.sink.take(each)) {
                this.sink.stream.write(`${each} line\n`);
            }
            if (at % 1000 === 0) {
                this.sink.flush();
            }
        }
        this.sink.flush();
    },
);

Then("{int} lines are written", function(this: World, count: number) {
    assert.equal(this.written.split("\n").filter((line) => line.endsWith(" line")).length, count);
});

Then("{int} lines are counted as dropped", function(this: World, count: number) {
    assert.equal(this.sink.dropped(), count);
    assert.ok(this.written.includes("\"lines\":90"));
});

Then("each write ends at the end of a line and has at most {int} bytes", function(this: World, max: number) {
    assert.ok(this.writes.length > 1);
    assert.deepEqual(this.writes.filter((text) => !text.endsWith("\n") || text.length > max), []);
});

Then("at most {int} KB are buffered", function(this: World, max: number) {
    assert.ok(this.written.length < max * 1024, `${this.written.length} bytes`);
});

Then("lines are counted as dropped", function(this: World) {
    assert.ok(this.sink.dropped() > 0);
});
