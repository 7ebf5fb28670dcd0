import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import { createFakeStore, type FakeStore, plainSubmission } from "../../../standins/scheduling";
import { addSubmission, createSchedulerState, type SubmissionEntry } from "../../schedule";
import { type Commit, maxCommitOperations, type Store } from "../../store";
import { decodeRecord, encodeRecord, submissionKey } from "../../submissions";
import {
    type CommitLimit,
    countOperations,
    createCommitLimit,
    createProgressWriter,
    type PendingSave,
    type ProgressWriter,
    SavePurpose,
    takeBatch,
} from "../index";

interface World {
    clock: Clock;
    limit: CommitLimit;
    batch: readonly PendingSave[];
    store: FakeStore;
    writer: ProgressWriter;
    entries: SubmissionEntry[];
    startTimesMs: number[];
    endTimeMs: number | undefined;
    mostOperations: number;
}

const leaderKey = "leader";
const saveIntervalMs = 100;

Before(function(this: World) {
    this.clock = installClock();
    this.entries = [];
    this.startTimesMs = [];
    this.mostOperations = 0;
});

After(function(this: World) {
    this.clock.uninstall();
});

/** Adds a submission whose record is in the store. */
function addEntry(world: World): SubmissionEntry {
    const submission = plainSubmission(`s${world.entries.length}`);
    const key = submissionKey(submission.id);
    world.store.put(key, encodeRecord({ kind: "open", submission, isCancelled: false }));
    const revision = world.store.get(key)?.revision ?? 0;
    const entry = addSubmission(createSchedulerState(), submission, revision, false, performance.now());
    world.entries.push(entry);
    return entry;
}

/** Counts the operations of each commit. */
function countingStore(world: World, store: Store): Store {
    return {
        ...store,
        commit(commit: Commit) {
            const operations = commit.conditions.length + commit.puts.length + commit.deletes.length;
            world.mostOperations = Math.max(world.mostOperations, operations);
            return store.commit(commit);
        },
    };
}

Given("a commit limit", function(this: World) {
    this.limit = createCommitLimit();
});

When("{int} commits are answered after {int} ms each", function(this: World, count: number, ms: number) {
    Array.from({ length: count }, () => this.limit.recordAnswer(ms));
});

When("{int} commits are refused because of too many calls", function(this: World, count: number) {
    Array.from({ length: count }, () => this.limit.recordRateLimited());
});

Then("{int} commits may be in flight", function(this: World, count: number) {
    assert.equal(this.limit.current(), count);
});

Given(
    "{int} submissions with ends, {int} with starts and {int} that are complete, changed in this order",
    function(this: World, ends: number, starts: number, complete: number) {
        this.store = createFakeStore();
        const add = (count: number, purpose: SavePurpose, isComplete: boolean) =>
            Array.from({ length: count }, () => {
                const entry = addEntry(this);
                entry.finalState = isComplete ? "complete" : undefined;
                return { entry, sinceMs: performance.now(), purpose, waiters: [] };
            });
        const pending = [
            ...add(ends, SavePurpose.end, false),
            ...add(starts, SavePurpose.start, false),
            ...add(complete, SavePurpose.end, true),
        ];
        this.batch = takeBatch(pending, performance.now());
    },
);

Then(
    "the next commit holds the {int} with starts, the {int} that are complete and {int} with ends",
    function(this: World, starts: number, complete: number, ends: number) {
        const count = (is: (save: PendingSave) => boolean) => this.batch.filter(is).length;
        assert.deepEqual(
            [
                count(({ purpose }) => purpose === SavePurpose.start),
                count(({ entry }) => entry.finalState === "complete"),
                count(({ entry, purpose }) => entry.finalState === undefined && purpose === SavePurpose.end),
            ],
            [starts, complete, ends],
        );
    },
);

Then("it holds no more operations than the store takes", function(this: World) {
    const operations = this.batch.reduce((sum, { entry }) => sum + countOperations(entry), 1);
    assert.ok(operations <= maxCommitOperations, String(operations));
});

Given(
    "a leader that records progress, and a store that answers in {int} ms",
    function(this: World, answerMs: number) {
        this.store = createFakeStore();
        this.store.setAnswerMs(answerMs);
        this.store.put(leaderKey, "{}");
        const revision = this.store.get(leaderKey)?.revision ?? 0;
        this.writer = createProgressWriter({
            store: countingStore(this, this.store.connect("entry-1")),
            tenure: {
                token: revision,
                condition: { key: leaderKey, revision },
                isValid: () => true,
                mayInterrupt: () => true,
            },
            report() {},
            onFenced: () => assert.fail("the leader key has not changed"),
            onEnded() {},
            onCancelled() {},
        });
    },
);

When(
    "{int} submissions a second are each saved {int} times for {int} s",
    async function(this: World, perSecond: number, saves: number, seconds: number) {
        for (let at = 0; at < perSecond * seconds; at++) {
            const entry = addEntry(this);
            for (let save = 0; save < saves; save++) {
                setTimeout(() => saveOnce(this, entry, save), save * saveIntervalMs);
            }
            await this.clock.advance(Math.round(1000 / perSecond));
        }
        await this.clock.advance(3000);
    },
);

When(
    "{int} starts a second are saved for {int} s, and an end after the first second",
    async function(this: World, perSecond: number, seconds: number) {
        for (let atMs = 0; atMs < seconds * 1000; atMs += saveIntervalMs) {
            for (let start = 0; start < perSecond * saveIntervalMs / 1000; start++) {
                void this.writer.save(addEntry(this), SavePurpose.start);
            }
            if (atMs === 1000) {
                const sentAtMs = performance.now();
                void this.writer.save(addEntry(this), SavePurpose.end).then(() =>
                    this.endTimeMs = performance.now() - sentAtMs
                );
            }
            await this.clock.advance(saveIntervalMs);
        }
    },
);

Then("the end is recorded within {int} ms", function(this: World, ms: number) {
    assert.ok((this.endTimeMs ?? Number.POSITIVE_INFINITY) <= ms, String(this.endTimeMs));
});

/** Every second save is one of a start. */
function saveOnce(world: World, entry: SubmissionEntry, save: number): void {
    const purpose = save % 2 === 0 ? SavePurpose.start : SavePurpose.end;
    const sentAtMs = performance.now();
    void world.writer.save(entry, purpose).then((isSaved) => {
        if (purpose === SavePurpose.start) {
            world.startTimesMs.push(isSaved ? performance.now() - sentAtMs : Number.POSITIVE_INFINITY);
        }
    });
}

Then("{int} of 100 starts are recorded within {int} ms", function(this: World, share: number, ms: number) {
    const inTime = this.startTimesMs.filter((tookMs) => tookMs <= ms).length;
    assert.ok(this.startTimesMs.length > 0);
    assert.ok(inTime >= this.startTimesMs.length * share / 100, `${inTime} of ${this.startTimesMs.length}`);
});

When(
    "{int} recorded submissions are saved without an answer, and all complete before they are sent again",
    async function(this: World, count: number) {
        Array.from({ length: count }, () => addEntry(this));
        this.entries.forEach((entry) => void this.writer.save(entry, SavePurpose.start));
        await this.clock.advance(100);
        this.store.setFault("entry-1", "refused");
        this.entries.forEach((entry) => void this.writer.save(entry, SavePurpose.end));
        await this.clock.advance(50);
        this.entries.forEach((entry) => entry.finalState = "complete");
        this.entries.forEach((entry) => void this.writer.save(entry, SavePurpose.end));
        this.store.setFault("entry-1", undefined);
        await this.clock.advance(1000);
    },
);

Then("all are final in the store", function(this: World) {
    for (const { submission } of this.entries) {
        assert.equal(decodeRecord(this.store.get(submissionKey(submission.id))?.text ?? "")?.kind, "final");
    }
});

Then("no commit held more operations than the store takes", function(this: World) {
    assert.ok(this.mostOperations <= maxCommitOperations, String(this.mostOperations));
});
