import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { plainRoute, plainStep } from "../../../standins/scheduling";
import {
    addDueOccurrences,
    addSubmission,
    createDurationEstimates,
    createSchedulerState,
    rankSubmissions,
    type SchedulerState,
    type SubmissionEntry,
} from "../index";
import { promoteUnderserved } from "../promoteUnderserved";

interface World {
    state: SchedulerState;
    entries: SubmissionEntry[];
    nowMs: number;
    /** Waiting submissions by what the scenario calls them. */
    waiting: Map<string, SubmissionEntry>;
}

const startMs = 1_000_000;
const estimates = createDurationEstimates();
const queues = { calls: 1, urgent: 0 } as const;

Before({ tags: "@sizes" }, function(this: World) {
    this.state = createSchedulerState();
    this.entries = [];
    this.nowMs = startMs;
    this.waiting = new Map();
});

function submit(world: World, queue: string, count: number, isExcess = false): SubmissionEntry {
    const submission = {
        id: `submission-${world.entries.length}`,
        payload: "",
        steps: [{ ...plainStep, count }, { ...plainStep, count, after: [0] }],
        schedule: { repeats: 0, startAtMs: 0, intervalMs: 0 },
        tenant: undefined,
        route: queue,
        service: "stalls",
        acceptedAtMs: world.nowMs,
    };
    const entry = addSubmission(world.state, submission, 1, false, world.nowMs);
    entry.isExcess = isExcess;
    addDueOccurrences(entry, world.nowMs, world.nowMs);
    world.state.serviceShares.recordArrival(entry);
    world.entries.push(entry);
    return entry;
}

/** Submissions of 1 to 100 tasks, in an order that mixes the sizes. */
function submitMany(world: World, queue: string, count: number): readonly SubmissionEntry[] {
    return Array.from({ length: count }, (_, at) => submit(world, queue, (at * 37) % 100 + 1));
}

function complete(world: World, queue: string, isServed: (entry: SubmissionEntry) => boolean): void {
    submitMany(world, queue, 100).filter(isServed).forEach((entry) => world.state.serviceShares.recordServed(entry));
}

function rank(world: World): readonly SubmissionEntry[] {
    const opts = {
        entries: [...world.waiting.values()],
        queueOf: ({ route }: { readonly route: string; }) => ({
            ...plainRoute,
            service: "stalls",
            priority: queues[route as keyof typeof queues],
        }),
        estimates,
        nowMs: world.nowMs,
        timeOfDayMs: world.nowMs,
    };
    promoteUnderserved({ ...opts, shares: world.state.serviceShares });
    return rankSubmissions({ ...opts, shareOf: () => 0 }).map(({ entry }) => entry);
}

Given("{int} submissions of different sizes in queue {string}", function(this: World, count: number, queue: string) {
    submitMany(this, queue, count);
});

Then(
    "about {int} are {string}, {int} {string} and {int} {string}",
    function(this: World, a: number, nameA: string, b: number, nameB: string, c: number, nameC: string) {
        for (const [expected, name] of [[a, nameA], [b, nameB], [c, nameC]] as const) {
            const count = this.entries.filter(({ sizeClass }) => sizeClass === name).length;
            assert.ok(Math.abs(count - expected) <= 0.08 * this.entries.length, `${name}: ${count}`);
        }
    },
);

Given("queue {string} has completed its smaller submissions and none of the largest", function(
    this: World,
    queue: string,
) {
    complete(this, queue, ({ sizeClass }) => sizeClass !== "largest");
});

Given("queue {string} has completed its smaller submissions, and the largest were cancelled", function(
    this: World,
    queue: string,
) {
    const { serviceShares } = this.state;
    submitMany(this, queue, 100).forEach((entry) =>
        entry.sizeClass === "largest" ? serviceShares.recordCancelled(entry) : serviceShares.recordServed(entry)
    );
});

When("queue {string} has completed all of its submissions", function(this: World, queue: string) {
    complete(this, queue, () => true);
});

Given("a largest submission of {string} has been promoted", function(this: World, queue: string) {
    this.waiting.set("largest", submit(this, queue, 100));
    rank(this);
    assert.equal(this.waiting.get("largest")?.isPromoted, true);
});

When("a small submission of {string} arrives", function(this: World, queue: string) {
    this.waiting.set("small", submit(this, queue, 1));
});

When("a small and a largest submission of {string} wait", function(this: World, queue: string) {
    const old = this.waiting.get("largest");
    this.waiting = new Map([["small", submit(this, queue, 1)], ["largest", submit(this, queue, 100)]]);
    if (old !== undefined) {
        this.waiting.set("old", old);
    }
});

When("a small and a largest excess submission of {string} wait", function(this: World, queue: string) {
    this.waiting.set("small", submit(this, queue, 1, true));
    this.waiting.set("largest", submit(this, queue, 100, true));
});

When("a largest submission of {string} and a small one of the urgent queue wait", function(this: World, queue: string) {
    this.waiting.set("largest", submit(this, queue, 100));
    this.waiting.set("urgent", submit(this, "urgent", 1));
});

When("{int} ms have passed", function(this: World, ms: number) {
    this.nowMs += ms;
});

Then("the {string} one ranks first", function(this: World, name: string) {
    assert.equal(rank(this)[0], this.waiting.get(name));
});

Then("the new {string} one ranks first, and the old one isn't promoted", function(this: World, name: string) {
    assert.equal(rank(this).filter((entry) => entry !== this.waiting.get("old"))[0], this.waiting.get(name));
    assert.equal(this.waiting.get("old")?.isPromoted, false);
});
