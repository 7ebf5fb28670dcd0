import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { measureHeapBytes } from "../../../standins/measureHeapBytes";
import { plainSubmission } from "../../../standins/scheduling";
import { encodeProgress } from "../../progress";
import type { Step } from "../../submissions";
import {
    addDueOccurrences,
    addSubmission,
    createDurationEstimates,
    isComplete,
    markDone,
    planStarts,
    recordProgressBytes,
    removeRun,
    type Run,
    startedTasksOf,
    type SubmissionEntry,
} from "../index";
import type { World } from "./schedule.steps";

interface DeclaredWorld extends World {
    heapBytes: number;
}

const timeOfDayMs = 1_000_000_000;
const bytesPerMb = 1_000_000;

function findEntry(world: World, name: string): SubmissionEntry {
    const entry = world.entries.get(name);
    assert.ok(entry);
    return entry;
}

function recordProgress(entry: SubmissionEntry): void {
    recordProgressBytes(entry, Buffer.byteLength(encodeProgress(entry)));
}

function submitRepeated(world: World, name: string, repeats: number, steps: readonly Partial<Step>[]): void {
    const submission = {
        ...plainSubmission(name, steps),
        schedule: { repeats, startAtMs: 1, intervalMs: 1000 },
        acceptedAtMs: timeOfDayMs,
    };
    const entry = addSubmission(world.state, submission, 1, false, world.nowMs);
    addDueOccurrences(entry, timeOfDayMs, world.nowMs);
    world.entries.set(name, entry);
}

Given("a submission {string} that is due {int} times, each with {int} tasks", function(
    this: World,
    name: string,
    repeats: number,
    count: number,
) {
    submitRepeated(this, name, repeats, [{ count }]);
});

Given("a submission {string} that is due {int} times, whose second step no worker can run", function(
    this: World,
    name: string,
    repeats: number,
) {
    submitRepeated(this, name, repeats, [{}, { after: [0], workerLabel: "none" }]);
});

Given("the progress record of {string} has {int} of {int} kB", function(
    this: World,
    name: string,
    length: number,
    most: number,
) {
    findEntry(this, name).progressBytes = length * 1000;
    this.maxValueBytes = most * 1000;
});

When(/^all tasks of "(.+)" are done as they start(|, after a dropped run each)$/, function(
    this: World,
    name: string,
    dropped: string,
) {
    const entry = findEntry(this, name);
    for (let isWorking = true; isWorking;) {
        this.nowMs += 10;
        addDueOccurrences(entry, timeOfDayMs, this.nowMs);
        const runs = planStarts({
            state: this.state,
            policy: this.policy,
            estimates: createDurationEstimates(),
            nowMs: this.nowMs,
            timeOfDayMs,
            allowedWorkers: () => undefined,
            maxStarts: 400,
        });
        const started = [...startedTasksOf(entry)].flatMap((task) => task.runs);
        started.forEach((run) => {
            if (dropped !== "") {
                run.task.droppedRuns.add(run.number - 1);
            }
            removeRun(this.state, run, this.nowMs);
            markDone(run.task);
        });
        isWorking = runs.length > 0;
    }
});

Given("the longest value of the store has {int} kB", function(this: World, length: number) {
    this.maxValueBytes = length * 1000;
});

When("starts are planned and recorded until none is added", function(this: World) {
    let runs: readonly Run[];
    do {
        this.nowMs += 10;
        runs = planStarts({
            state: this.state,
            policy: this.policy,
            estimates: createDurationEstimates(),
            nowMs: this.nowMs,
            timeOfDayMs,
            allowedWorkers: () => undefined,
            maxStarts: 20,
            maxValueBytes: this.maxValueBytes,
        });
        this.entries.forEach(recordProgress);
    }
    while (runs.length > 0);
});

When("each running task of {string} has a checkpoint of {int} characters", function(
    this: World,
    name: string,
    length: number,
) {
    for (const task of startedTasksOf(findEntry(this, name))) {
        task.checkpoint = "0".repeat(length);
    }
});

Then("the progress record of {string} has at most {int} kB", function(this: World, name: string, most: number) {
    const length = Buffer.byteLength(encodeProgress(findEntry(this, name)));
    assert.ok(length <= most * 1000, String(length));
});

Then("tasks of {string} have objects: {int}", function(this: World, name: string, count: number) {
    assert.equal([...startedTasksOf(findEntry(this, name))].length, count);
});

Given("the memory in use is measured", function(this: DeclaredWorld) {
    this.heapBytes = measureHeapBytes();
});

Then("less than {int} MB more memory is in use", function(this: DeclaredWorld, most: number) {
    const takenMb = (measureHeapBytes() - this.heapBytes) / bytesPerMb;
    assert.ok(takenMb < most, `${takenMb.toFixed(1)} MB`);
});

Then("a planning round took less than {int} ms", function(this: World, most: number) {
    assert.ok(this.longestRoundMs < most, `${this.longestRoundMs.toFixed(0)} ms`);
});

Then("{string} is complete", function(this: World, name: string) {
    assert.ok(isComplete(findEntry(this, name)));
});

Then("all {int} occurrences of {string} are complete", function(this: World, count: number, name: string) {
    const entry = findEntry(this, name);
    assert.equal(entry.doneOccurrences.size, count);
    assert.ok(isComplete(entry));
});

Then("the first step of all {int} occurrences of {string} is done", function(this: World, count: number, name: string) {
    const { occurrences } = findEntry(this, name);
    assert.equal([...occurrences.values()].filter(({ steps: [first] }) => first?.done.size === 1).length, count);
});
