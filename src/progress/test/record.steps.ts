import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { plainSubmission } from "../../../standins/scheduling";
import {
    addDueOccurrences,
    addRun,
    addSubmission,
    createSchedulerState,
    createWorker,
    markDone,
    startedTasksOf,
    type SubmissionEntry,
    type Task,
    taskAt,
} from "../../schedule";
import { restoreProgress } from "../../scheduler";
import type { Submission } from "../../submissions";
import { decodeProgress, encodeProgress } from "../index";

interface World {
    submission: Submission;
    entry: SubmissionEntry;
    text: string;
    restored: SubmissionEntry;
}

const worker = createWorker("i-0123456789", 1_796_400_000_000);
const timeOfDayMs = 1_000_000_000;

Given(/^a submission of (\d+) steps of (\d+) tasks that is due (\d+) times?$/, function(
    this: World,
    steps: string,
    count: string,
    repeats: string,
) {
    const list = Array.from({ length: Number(steps) }, () => ({ count: Number(count) }));
    const schedule = { repeats: Number(repeats), startAtMs: 1, intervalMs: 1000 };
    this.submission = { ...plainSubmission("0000000000000001", list), schedule };
    this.entry = addSubmission(createSchedulerState(), this.submission, 1, false, 0);
});

/** All tasks in the order in which a leader starts them, while occurrences are added. */
function* listInOrder(entry: SubmissionEntry): Generator<Task> {
    for (let number = 0;; number++) {
        addDueOccurrences(entry, timeOfDayMs, 0);
        const occurrence = entry.occurrences.get(number);
        if (occurrence === undefined) {
            return;
        }
        for (const tasks of occurrence.steps) {
            for (let index = 0; index < tasks.step.count; index++) {
                yield taskAt(tasks, index);
            }
        }
    }
}

Given(
    "{int} of its tasks are done, {int} run, {int} have failed once and {int} has a checkpoint",
    function(this: World, done: number, running: number, failed: number, checkpoints: number) {
        const state = createSchedulerState();
        const tasks = listInOrder(this.entry);
        const take = (count: number, change: (task: Task) => void) => {
            for (let at = 0; at < count; at++) {
                const { value } = tasks.next();
                assert.ok(value);
                change(value);
            }
        };
        const start = (task: Task) => addRun(state, task, worker, 1, "running", 0);
        take(running, start);
        take(failed, (task) => {
            start(task);
            task.runs.splice(0);
            task.failedRuns.add(1);
        });
        take(checkpoints, (task) => {
            start(task);
            task.checkpoint = "00000bb87a21d94b";
        });
        take(done, markDone);
    },
);

function read(world: World, text: string): void {
    world.text = text;
    const progress = decodeProgress(text);
    assert.ok(progress);
    world.restored = addSubmission(createSchedulerState(), world.submission, 1, false, 0);
    restoreProgress(createSchedulerState(), world.restored, progress, () => worker, 0);
}

When("its record is written and read", function(this: World) {
    read(this, encodeProgress(this.entry));
});

When(
    "a record of an earlier build is read, with {int} done tasks of the first step and {int} run of the second",
    function(this: World, done: number, runs: number) {
        const doneRows = Array.from({ length: done }, (_, index) => [0, 0, index, "d", 2, [1], "", []]);
        const runRows = Array.from(
            { length: runs },
            (_, index) => [0, 1, index, "w", 1, [], "", [[1, worker.id, worker.bornMs]]],
        );
        read(this, JSON.stringify({ tasks: [...doneRows, ...runRows] }));
    },
);

function describe(entry: SubmissionEntry) {
    const started = [...startedTasksOf(entry)].filter(({ phase }) => phase !== "done").map((task) => ({
        name: task.name,
        lastRun: task.lastRun,
        failedRuns: [...task.failedRuns],
        checkpoint: task.checkpoint,
        runs: task.runs.map(({ number }) => number),
    }));
    const done = [...entry.occurrences].map(([number, { steps }]) => [number, steps.map((tasks) => tasks.done.list())]);
    // Occurrences without progress are not recorded.
    const withProgress = done.filter(([number, lists]) =>
        JSON.stringify(lists) !== "[[],[]]" || started.some(({ name }) => name.split(".")[1] === String(number))
    );
    return { started, done: withProgress, doneOccurrences: entry.doneOccurrences.list() };
}

Then("the restored submission is the same", function(this: World) {
    assert.deepEqual(describe(this.restored), describe(this.entry));
});

Then("the record is shorter than {int} kB", function(this: World, most: number) {
    assert.ok(this.text.length < most * 1000, String(this.text.length));
});

Then("the record has a row for each of {int} tasks and nothing else", function(this: World, count: number) {
    const record = JSON.parse(this.text) as Record<string, unknown[]>;
    assert.deepEqual(Object.keys(record), ["tasks"]);
    assert.equal(record["tasks"]?.length, count);
});

Then("{int} tasks are done and {int} run is restored", function(this: World, done: number, runs: number) {
    const [occurrence] = this.restored.occurrences.values();
    assert.equal(occurrence?.steps.reduce((sum, tasks) => sum + tasks.done.size, 0), done);
    assert.equal([...startedTasksOf(this.restored)].flatMap((task) => task.runs).length, runs);
});
