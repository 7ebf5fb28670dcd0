import { Before, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import type { SubmissionStory } from "../../soak/createClients";
import type { Disturbance } from "../../soak/createFaults";
import type { RouteAnswer } from "../../soak/createRouteChecks";
import { keptKey, revokedKey } from "../../soak/createWorld";
import { judge } from "../../soak/judge";
import { runSoak, type SoakResult } from "../../soak/runSoak";
import type { WorkerEvent } from "../../standins/scheduling";

interface World {
    result: SoakResult;
    story: SubmissionStory;
    events: WorkerEvent[];
    revokedAtMs: number | undefined;
    routeAnswers: RouteAnswer[];
    disturbances: Disturbance[];
}

setDefaultTimeout(90_000);

Before(function(this: World) {
    this.events = [];
    this.revokedAtMs = undefined;
    this.routeAnswers = [];
    this.disturbances = [];
});

Given("the daemon is built", function() {
    execFileSync(process.execPath, ["scripts/buildDaemon.mjs"]);
});

When("a soak of {int} s with seed {int} has been played", async function(this: World, seconds: number, seed: number) {
    this.result = await runSoak({ seed, faultsForMs: seconds * 1000, entries: 4, workers: 5 });
});

Then("no promise was broken", function(this: World) {
    assert.deepEqual(this.result.broken, [], `${this.result.faults.join("\n")}\nlogs: ${this.result.folder}`);
});

Then("at least {int} submissions were accepted", function(this: World, count: number) {
    assert.ok(this.result.accepted >= count, String(this.result.accepted));
});

const id = "0".repeat(15) + "1";

function event(kind: WorkerEvent["kind"], atMs: number, task: string, worker = "worker-1"): WorkerEvent {
    return { kind, atMs, task, worker, run: 1, isAcked: true };
}

function tell(tasks: number, answers: readonly number[], states: readonly string[]): SubmissionStory {
    return {
        id,
        tasks,
        isLasting: false,
        key: keptKey,
        sentAtMs: 10_000,
        answers: [...answers],
        acceptedAtMs: answers.includes(200) ? 10_010 : undefined,
        cancelledAtMs: undefined,
        shown: states.map((state) => ({ state, atMs: 20_000, askedAtMs: 19_990 })),
    };
}

Given(
    "a submission of {int} task(s) that was accepted, run and shown as {string}",
    function(this: World, tasks: number, state: string) {
        this.story = tell(tasks, [200], [state]);
        this.events = [event("started", 10_100, `${id}.0.0.0`), event("done", 10_900, `${id}.0.0.0`)];
    },
);

Given("a submission of 1 task that was refused with {int} and run", function(this: World, status: number) {
    this.story = tell(1, [status], []);
    this.events = [event("started", 10_100, `${id}.0.0.0`)];
});

Given(
    "a submission of 1 task that was refused with {int} and shown as {string}",
    function(this: World, status: number, state: string) {
        this.story = tell(1, [status], [state]);
    },
);

Given(
    "a submission of {int} tasks that were accepted and all started at once on a worker for 4",
    function(this: World, tasks: number) {
        this.story = tell(tasks, [200], []);
        this.events = Array.from({ length: tasks }, (_, at) => event("started", 10_100, `${id}.0.0.${at}`));
    },
);

Given("2 tasks of a serving step that are stopped at once, where 1 may be away", function(this: World) {
    this.story = tell(1, [], []);
    const tasks = [`${"f".repeat(16)}.0.0.0`, `${"f".repeat(16)}.0.0.1`];
    this.events = [
        ...tasks.map((task) => event("started", 100, task)),
        ...tasks.map((task) => event("stopOrdered", 200, task)),
    ];
});

When("its task also starts elsewhere while it runs", function(this: World) {
    this.events.splice(1, 0, event("started", 10_500, `${id}.0.0.0`, "worker-2"));
});

When("it was cancelled {int} ms before its task started", function(this: World, ms: number) {
    this.story.cancelledAtMs = 10_100 - ms;
});

When("its key had been taken away {int} ms before it was sent", function(this: World, ms: number) {
    this.story = { ...this.story, key: revokedKey };
    this.revokedAtMs = this.story.sentAtMs - ms;
});

When(
    "an entry refuses a route {int} ms after it was added, and {int} ms after its last disturbance",
    function(this: World, lateMs: number, calmMs: number) {
        const sentAtMs = 20_000;
        const answer = { entry: "entry-1", path: "/route-1/", sentAtMs, confirmedAtMs: sentAtMs - lateMs, status: 404 };
        this.routeAnswers = [answer];
        this.disturbances = [{ entry: undefined, fromMs: 10_000, untilMs: sentAtMs - calmMs }];
    },
);

function findBroken({ story, events, revokedAtMs, routeAnswers, disturbances }: World): readonly string[] {
    return judge({
        stories: [story],
        events,
        revokedAtMs,
        routeAnswers,
        disturbances,
        calmSinceMs: 11_000,
        endedAtMs: 31_000,
        tasksPerWorker: 4,
    });
}

Then("the judge finds nothing", function(this: World) {
    assert.deepEqual(findBroken(this), []);
});

Then("the judge finds {string}", function(this: World, text: string) {
    const broken = findBroken(this);
    assert.ok(broken.some((line) => line.includes(text)), broken.join("\n"));
});
