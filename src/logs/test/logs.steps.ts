import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
    type DaySummary,
    explainSubmission,
    listSizedSubmissions,
    type LogLine,
    type MachineTime,
    measureServedBySize,
    readLogLines,
    renderDaySvg,
    type SubmissionTimeline,
    sumMachineTime,
    summarizeDay,
} from "../index";

interface World {
    lines: readonly LogLine[];
    explained: SubmissionTimeline;
    time: MachineTime;
    day: DaySummary;
}

const id = "5c0e7a21d94b36f8";

function line(atS: number, message: string, fields: Readonly<Record<string, unknown>>, instance = "entry-1"): LogLine {
    return { timestamp: new Date(Date.UTC(2026, 0, 1) + atS * 1000).toISOString(), message, instance, ...fields };
}

function roomLine(atS: number, workers: number, emptyWorkers: number): LogLine {
    const cores = { cores: workers * 16, shortCores: 16, longRunningCores: 0, waitingCores: 8, neededCores: 8 };
    return line(atS, "room", { pool: "stalls", workers, emptyWorkers, stayingWorkers: 0, ...cores });
}

Before(function(this: World) {
    this.lines = [];
});

Given("the logs of two entries", function(this: World) {
    this.lines = [
        line(0, "duty", { change: "gained", reason: "vacant" }),
        line(1, "submission", { submission: id, change: "taken", route: "r-1" }),
        line(1.2, "order", { order: "start", task: `${id}.0.0.0`, worker: "worker-1" }),
        line(1.5, "evacuation", { zone: "zone-a", change: "begun" }, "entry-2"),
        line(1.6, "machineOrder", { order: "move", machine: "machine-2" }),
        line(1.6, "machineOrder", { order: "move", machine: "machine-3" }),
        roomLine(2, 3, 2),
        line(2.5, "workerEnded", { worker: "worker-1", reason: "gone" }),
        line(2.6, "workerEnded", { worker: "worker-9", reason: "gone" }),
        line(3, "machine", { machine: "machine-2", state: "up", worker: "worker-2" }),
        line(3, "machine", { machine: "machine-3", state: "up", worker: "worker-3" }),
        line(3.4, "order", { order: "start", task: "1".repeat(16), worker: "worker-2" }),
        roomLine(4, 1, 1),
        line(4, "duty", { change: "lost", reason: "another entry holds the duty" }),
        line(6, "duty", { change: "gained", reason: "vacant" }, "entry-2"),
        line(7, "submission", { submission: id, change: "complete", route: "r-1" }, "entry-2"),
    ];
});

When("submission {string} is explained", function(this: World, submission: string) {
    this.explained = explainSubmission(this.lines, submission);
});

Then("{int} lines are about it", function(this: World, count: number) {
    assert.equal(this.explained.own.length, count);
});

Then("the related lines are {string}", function(this: World, kinds: string) {
    assert.equal([...new Set(this.explained.around.map(({ message }) => message))].sort().join(", "), kinds);
    assert.ok(this.explained.around.every(({ worker }) => worker !== "worker-9"));
});

Then("all lines are in chronological order", function(this: World) {
    const times = this.explained.story.map(({ timestamp }) => timestamp);
    assert.deepEqual(times, [...times].sort());
});

Given("the log of a leader that took 10 submissions and completed the smallest 8, the last of them too late", function(
    this: World,
) {
    const fieldsOf = (at: number) => ({ submission: `s-${at}`, route: "r-1", workCoreMs: 100 * (at + 1) });
    this.lines = Array.from({ length: 10 }, (_, at) => {
        const taken = line(at, "submission", { ...fieldsOf(at), change: "taken" });
        const timeliness = at === 7 ? "tooLate" : "inTime";
        const end = { ...fieldsOf(at), change: "complete", timeliness, firstStartMs: 100, startSpanMs: 0, restarts: 0 };
        return at < 8 ? [taken, line(at + 20, "submission", end)] : [taken];
    }).flat();
});

const measureSizes = ({ lines }: World) => measureServedBySize(listSizedSubmissions(lines));

Then("the served shares are {string}", function(this: World, expected: string) {
    assert.equal(measureSizes(this).map(({ size, servedShare }) => `${size} ${servedShare}`).join(", "), expected);
});

Then("the smaller ones waited {int} ms for their first start", function(this: World, firstStartMs: number) {
    assert.equal(measureSizes(this).find(({ size }) => size === "smaller")?.firstStartMs, firstStartMs);
});

When("machine time is summed up", function(this: World) {
    this.time = sumMachineTime(this.lines);
});

Then(
    "pool {string} had {int} s of empty machines and {int} s of working machines",
    function(this: World, pool: string, empty: number, working: number) {
        const time = this.time.pools.get(pool);
        assert.deepEqual([time?.emptyS, time?.workingS], [empty, working]);
    },
);

Then(
    "{int} machine that joined got work promptly, and {int} got none",
    function(this: World, prompt: number, never: number) {
        assert.deepEqual(this.time.joined, { prompt, later: 0, never });
    },
);

Then("there was no leader for {int} s", function(this: World, seconds: number) {
    assert.deepEqual(this.time.vacancies.map(({ lastedS }) => lastedS), [seconds]);
});

When("the day is summarized", function(this: World) {
    this.day = summarizeDay(this.lines);
});

Then("its time series include {string} and {string}", function(this: World, first: string, second: string) {
    const names = this.day.traces.map(({ name }) => name);
    assert.ok(names.includes(first) && names.includes(second), names.join(", "));
});

Then("its events are {string}", function(this: World, expected: string) {
    const words = this.day.events.map(({ text }) => text.replace("of zone-a ", "").split(/[ ,]/).slice(0, 2).join(" "));
    assert.equal(words.join(", "), expected);
});

Then("it can be rendered", function(this: World) {
    const svg = renderDaySvg(this.day);
    assert.equal(svg.match(/<title>/g)?.length, this.day.events.length);
    assert.ok(!svg.includes("NaN"));
});

Given("a log file with a truncated line", async function(this: World) {
    const folder = mkdtempSync(join(tmpdir(), "logs-"));
    const file = join(folder, "entry.log");
    const [first, second] = [line(0, "duty", { change: "gained" }), line(1, "duty", { change: "lost" })];
    writeFileSync(file, `12.5 entry-1 ${JSON.stringify(first)}\n{"message":"order","ta\n${JSON.stringify(second)}\n`);
    this.lines = await readLogLines([file]);
    rmSync(folder, { recursive: true });
});

Then("the other lines are read", function(this: World) {
    assert.deepEqual(this.lines.map((each) => each["change"]), ["gained", "lost"]);
});

When("a day without log lines is summarized", function(this: World) {
    this.day = summarizeDay([]);
});

Then("it has no time series and no events", function(this: World) {
    assert.deepEqual(this.day, { traces: [], events: [] });
});
