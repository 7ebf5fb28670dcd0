import { After, Before, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createClients, type SubmissionStory } from "../../soak/createClients";
import type { Disturbance } from "../../soak/createFaults";
import type { RouteAnswer } from "../../soak/createRouteChecks";
import { createWorld, keptKey, revokedKey, type World as SoakWorld } from "../../soak/createWorld";
import { judge } from "../../soak/judge";
import { runSoak, type SoakResult } from "../../soak/runSoak";
import { pause } from "../../src/clock";
import { leaderKey } from "../../src/duties";
import { createRandom } from "../../standins/random";
import type { WorkerEvent } from "../../standins/scheduling";

interface World {
    result: SoakResult;
    story: SubmissionStory;
    events: WorkerEvent[];
    revokedAtMs: number | undefined;
    routeAnswers: RouteAnswer[];
    disturbances: Disturbance[];
    soakWorld: SoakWorld | undefined;
    server: Server | undefined;
    /** Processes of the entries before the trouble. */
    pids: (number | undefined)[];
}

setDefaultTimeout(90_000);

Before(function(this: World) {
    this.events = [];
    this.revokedAtMs = undefined;
    this.routeAnswers = [];
    this.disturbances = [];
    this.soakWorld = undefined;
    this.server = undefined;
});

Given("the daemon is built", function() {
    execFileSync(process.execPath, ["scripts/buildDaemon.mjs"]);
});

When("a soak of {int} s with seed {int} has been played", async function(this: World, seconds: number, seed: number) {
    this.result = await runSoak({ seed, faultsForMs: seconds * 1000, entries: 4, workers: 5 });
});

/** What another writer may leave; `address` leads to a server of another kind. */
function listOddTexts(address: string): readonly string[] {
    const entry = {
        service: "stalls",
        address,
        zone: "zone-a",
        state: "ready",
        born: 1_700_000_000_000,
        capacity: { cpu: 4000, memMb: 16_000, gpu: 0 },
        labels: ["a"],
    };
    const plain = JSON.stringify(entry);
    return [
        "no JSON",
        "null",
        "[".repeat(100_000) + "]".repeat(100_000),
        plain,
        JSON.stringify({ ...entry, address: "127.0.0.1:70000" }),
        plain.replace("\"cpu\":4000", "\"cpu\":1e400"),
        plain.replace("\"gpu\":0", "\"gpu\":\"many\""),
        plain.replace("\"born\":1700000000000", "\"born\":1e300"),
    ];
}

When("other writers leave odd entries for {int} s", async function(this: World, seconds: number) {
    this.server = createServer((_request, response) =>
        response.end("{\"clockMs\":1,\"running\":{},\"finished\":[null]}")
    );
    await new Promise<void>((resolve) => this.server?.listen(0, "127.0.0.1", resolve));
    this.soakWorld = await createWorld({ seed: 11, entries: 3, workers: 3 });
    const { platform, entries } = this.soakWorld;
    while (platform.store.get(leaderKey) === undefined) {
        await pause(50);
    }
    this.pids = entries.map((entry) => entry.pid());
    const { port } = this.server.address() as AddressInfo;
    listOddTexts(`127.0.0.1:${port}`).forEach((text, at) => {
        platform.store.put(`servers/odd-${at}`, text);
        platform.store.put(`samphirepin/live/peer/odd-${at}`, text);
    });
    await pause(seconds * 1000);
});

Then("no entry has ended", function(this: World) {
    assert.deepEqual(this.soakWorld?.entries.map((entry) => entry.pid()), this.pids, this.soakWorld?.folder);
});

Then("a submission that comes now is complete within {int} s", async function(this: World, seconds: number) {
    assert.ok(this.soakWorld);
    const clients = createClients(this.soakWorld, createRandom(1));
    await clients.submit({ tasks: 2 });
    const isComplete = () => [...clients.stories.values()].some(({ shown }) => shown.at(-1)?.state === "complete");
    const untilMs = Date.now() + seconds * 1000;
    while (!isComplete() && Date.now() < untilMs) {
        await pause(50);
    }
    await clients.close();
    assert.ok(isComplete());
});

After(function(this: World) {
    this.soakWorld?.stop();
    this.server?.close();
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
