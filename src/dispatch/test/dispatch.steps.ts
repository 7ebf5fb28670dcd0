import { After, Before, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, createDispatchWorld, type DispatchWorld, installClock } from "../../../standins/dispatch";
import type { FakeWorker } from "../../../standins/fakes";
import { createRandom } from "../../../standins/random";
import type { TaskEnd, TaskRequest } from "../../tasks";

interface Sent {
    readonly controller: AbortController;
    readonly payload: string;
    readonly sentAtMs: number;
    end?: TaskEnd;
    endedAtMs?: number;
}

interface World {
    clock: Clock;
    world: DispatchWorld;
    sent: Sent[];
    maxWaiting: number;
    ejected: Set<string>;
}

interface Fleet {
    readonly entries?: number;
    readonly workers?: number;
    readonly zones?: number;
    readonly limit?: number;
    readonly queue?: number;
    readonly allQueues?: number;
}

setDefaultTimeout(60_000);

Before(function(this: World) {
    this.clock = installClock();
    this.sent = [];
    this.maxWaiting = 0;
});

After(function(this: World) {
    this.clock.uninstall();
});

async function start(
    world: World,
    { entries = 1, workers = 1, zones = 1, limit = 1000, queue = 500, allQueues = 4000 }: Fleet,
) {
    const random = createRandom(7);
    const names = Array.from({ length: zones }, (_, at) => `zone-${at + 1}`);
    world.world = createDispatchWorld({
        entryZones: names.flatMap((name) => Array.from({ length: entries }, () => name)),
        pools: { stalls: Object.fromEntries(names.map((name) => [name, workers])) },
        teams: [{ name: "stables", weight: 1, limit }],
        random: () => random.int(0, 999_999) / 1_000_000,
        bounds: { tasksPerTeam: queue, tasks: allQueues },
    });
    await world.clock.advance(200);
}

function send(world: World, task: Partial<TaskRequest>, entryAt = 0): Sent {
    const controller = new AbortController();
    const payload = `${task.payload ?? "run 50"} #${world.sent.length}`;
    const sent: Sent = { controller, payload, sentAtMs: Date.now() };
    world.sent.push(sent);
    void world.world.entries[entryAt]!.run({ ...task, payload }, controller.signal).then((end) => {
        sent.end = end;
        sent.endedAtMs = Date.now();
    });
    return sent;
}

async function sendMany(world: World, count: number, runMs: number, everyMs: number, task: Partial<TaskRequest> = {}) {
    for (let at = 0; at < count; at++) {
        for (const entryAt of everyMs > 0 ? world.world.entries.keys() : [0]) {
            const deadlineAtMs = Date.now() + 20_000;
            send(world, { payload: `run ${runMs}`, expectedRunMs: runMs, deadlineAtMs, ...task }, entryAt);
        }
        await world.clock.advance(everyMs);
        const waiting = world.world.entries.reduce((sum, { dispatch }) => sum + dispatch.counts().waiting, 0);
        world.maxWaiting = Math.max(world.maxWaiting, waiting);
    }
}

async function advanceUntil(world: World, isDone: () => boolean, maxMs: number): Promise<void> {
    for (let at = 0; at < maxMs && !isDone(); at++) {
        await world.clock.advance(1);
    }
}

function allEnded(world: World): boolean {
    return world.sent.every(({ end }) => end !== undefined);
}

function worker(world: World, at: number): FakeWorker {
    return [...world.world.workers.workers.values()][at - 1]!;
}

function startsAt(world: World, instance: string, sent: readonly Sent[] = world.sent): number {
    const payloads = new Set(sent.map(({ payload }) => payload));
    return world.world.workers.starts.filter((each) => each.instance === instance && payloads.has(each.order.payload))
        .length;
}

function startOf(world: World, { payload }: Sent) {
    return world.world.workers.starts.find(({ order }) => order.payload === payload);
}

function codeOf(end: TaskEnd | undefined): string {
    return end?.kind === "problem" ? end.problem.code : end?.kind ?? "no end";
}

Given("{int} entry/entries and {int} worker(s)", async function(this: World, entries: number, workers: number) {
    await start(this, { entries, workers });
});

Given(
    "{int} entry and {int} worker(s) and a limit of {int} task(s)",
    async function(this: World, entries: number, workers: number, limit: number) {
        await start(this, { entries, workers, limit });
    },
);

Given(
    "{int} entry and {int} worker and queues of {int} tasks per team",
    async function(this: World, entries: number, workers: number, queue: number) {
        await start(this, { entries, workers, queue });
    },
);

Given(
    "{int} entry and {int} worker and queues of {int} tasks in all",
    async function(this: World, entries: number, workers: number, allQueues: number) {
        await start(this, { entries, workers, allQueues });
    },
);

Given("an entry and a worker in each of {int} zones", async function(this: World, zones: number) {
    await start(this, { zones });
});

Given("worker {int} truncates its answers", function(this: World, at: number) {
    worker(this, at).truncatesAnswers = true;
});

Given("worker {int} returns the answers of other tasks", function(this: World, at: number) {
    worker(this, at).crossesAnswers = true;
});

Given("worker {int} fails every task", function(this: World, at: number) {
    worker(this, at).failsAll = true;
});

Given("all workers fail every task", function(this: World) {
    this.world.workers.workers.forEach((each) => {
        each.failsAll = true;
    });
});

Given("worker {int} answers {int} ms late", function(this: World, at: number, delayMs: number) {
    worker(this, at).answerDelayMs = delayMs;
});

When("a non-repeatable task runs for {int} ms", async function(this: World, runMs: number) {
    send(this, { payload: `run ${runMs}`, repeatable: false, expectedRunMs: runMs });
    await this.clock.advance(10);
});

When("a repeatable task runs for {int} ms", async function(this: World, runMs: number) {
    send(this, { payload: `run ${runMs}`, expectedRunMs: runMs });
    await this.clock.advance(10);
});

When("the connections of entry {int} break after {int} ms", async function(this: World, at: number, afterMs: number) {
    await this.clock.advance(afterMs);
    this.world.breakConnections(this.world.entries[at - 1]!.boot);
    await this.clock.advance(1);
});

When("its worker is cut off from entry {int} after {int} ms", async function(this: World, at: number, afterMs: number) {
    await this.clock.advance(afterMs);
    const { instance } = startOf(this, this.sent[0]!)!;
    this.world.workers.cuts.add(`${this.world.entries[at - 1]!.boot}>${instance}`);
});

When("entry {int} freezes for {int} ms", async function(this: World, at: number, forMs: number) {
    const { boot } = this.world.entries[at - 1]!;
    this.world.freeze(boot);
    await this.clock.advance(forMs);
    this.world.wake(boot);
    await this.clock.advance(10);
});

When(
    "{int} repeatable tasks of {int} ms are sent, one every {int} ms",
    async function(this: World, count: number, runMs: number, everyMs: number) {
        this.sent = [];
        this.world.workers.starts.splice(0);
        await sendMany(this, count, runMs, everyMs);
        await advanceUntil(this, () => allEnded(this), 20_000);
    },
);

When(
    "{int} repeatable tasks of {int} ms are sent to each entry, one every {int} ms",
    async function(this: World, count: number, runMs: number, everyMs: number) {
        await sendMany(this, count, runMs, everyMs);
        await advanceUntil(this, () => allEnded(this), 20_000);
    },
);

When("{int} repeatable tasks of {int} ms are sent at once", async function(this: World, count: number, runMs: number) {
    await sendMany(this, count, runMs, 0);
});

When(
    "{int} tasks of {int} ms are sent at once with deadlines of {int} ms",
    async function(this: World, count: number, runMs: number, deadlineMs: number) {
        await sendMany(this, count, runMs, 0, { deadlineAtMs: Date.now() + deadlineMs });
    },
);

When("worker {int} recovers", function(this: World, at: number) {
    worker(this, at).failsAll = false;
});

When("worker {int} leaves, as told by the configuration", function(this: World, at: number) {
    const leaving = { kind: "draining" } as unknown as { kind: "serving"; };
    this.world.setInstance(worker(this, at).instance, { state: leaving });
});

When("worker {int} leaves, as told by the instance list", function(this: World, at: number) {
    this.world.leaving.add(worker(this, at).instance);
});

When("worker {int} leaves, as told by its own answer", function(this: World, at: number) {
    worker(this, at).state = "draining";
});

When("worker {int} leaves, as told by a new assignment", function(this: World, at: number) {
    worker(this, at).assignmentNumber = 2;
});

When("all of them are canceled after {int} ms", async function(this: World, afterMs: number) {
    await this.clock.advance(afterMs);
    this.sent.forEach(({ controller }) => controller.abort());
});

When(
    "its worker checkpoints it after {int} ms while the worker fills up",
    async function(this: World, afterMs: number) {
        await this.clock.advance(afterMs);
        const { order } = startOf(this, this.sent[0]!)!;
        worker(this, 1).slots = 0;
        worker(this, 1).running.get(order.attempt)?.end({ kind: "stopped", reason: "checkpoint", checkpoint: "half" });
        await this.clock.advance(50);
    },
);

When("it is canceled", async function(this: World) {
    this.sent[0]!.controller.abort();
    await this.clock.advance(10);
});

When("a task that needs {int} processors is sent", async function(this: World, processors: number) {
    send(this, { size: { processors, memoryMb: 1, accelerators: 0 } });
    await this.clock.advance(1);
});

When("the zones are cut off from each other", function(this: World) {
    const [one, two] = this.world.entries;
    this.world.network.cuts.add(`${one!.boot}>${two!.boot}`).add(`${two!.boot}>${one!.boot}`);
    this.world.workers.cuts.add(`${one!.boot}>${worker(this, 2).instance}`);
    this.world.workers.cuts.add(`${two!.boot}>${worker(this, 1).instance}`);
});

Then("it is answered with its own payload", async function(this: World) {
    await advanceUntil(this, () => allEnded(this), 20_000);
    const { end, payload } = this.sent[0]!;
    assert.equal(end?.kind === "answered" ? end.body : codeOf(end), `done ${payload}`);
});

Then("it ends as {string} with outcome {string}", async function(this: World, code: string, outcome: string) {
    await advanceUntil(this, () => this.sent[0]!.end !== undefined, 10_000);
    const { end } = this.sent[0]!;
    assert.deepEqual([codeOf(end), end?.kind === "problem" ? end.problem.outcome : ""], [code, outcome]);
});

Then("another task of the team starts only after the first has ended", async function(this: World) {
    const [first] = this.sent;
    let wasTogether = false;
    const { running } = worker(this, 1);
    this.world.workers.onChange = () => {
        wasTogether ||= running.size > 1;
    };
    const second = send(this, {});
    await advanceUntil(this, () => second.end !== undefined, 10_000);
    assert.equal(wasTogether, false);
    assert.equal(codeOf(second.end), "answered");
    assert.notEqual(startOf(this, first!), undefined);
});

Then(
    "another task of the team is answered, started between {int} and {int} ms later",
    async function(this: World, leastMs: number, mostMs: number) {
        const second = send(this, {});
        await advanceUntil(this, () => second.end !== undefined, 10_000);
        const startedAfterMs = (startOf(this, second)?.atMs ?? 0) - second.sentAtMs;
        assert.ok(startedAfterMs >= leastMs && startedAfterMs <= mostMs, `started after ${startedAfterMs} ms`);
    },
);

Then("all of them are answered", function(this: World) {
    const others = this.sent.map(({ end }) => codeOf(end)).filter((code) => code !== "answered");
    assert.deepEqual(others, []);
});

Then("at least {int}% of them are answered", function(this: World, percent: number) {
    const answered = this.sent.filter(({ end }) => codeOf(end) === "answered").length;
    assert.ok(answered * 100 >= percent * this.sent.length, `${answered} of ${this.sent.length}`);
});

Then("no worker runs a task", function(this: World) {
    assert.equal(worker(this, 1).running.size, 0);
});

Then("worker {int} was given at most {int} of them", function(this: World, at: number, most: number) {
    const count = startsAt(this, worker(this, at).instance);
    assert.ok(count <= most, `${count}`);
});

Then("worker {int} was given at least {int} of them", function(this: World, at: number, least: number) {
    const count = startsAt(this, worker(this, at).instance);
    assert.ok(count >= least, `${count}`);
});

Then("worker {int} started none of them", function(this: World, at: number) {
    assert.equal(startsAt(this, worker(this, at).instance), 0);
});

Then("worker {int} was sent at most {int} of them", function(this: World, at: number, most: number) {
    const { instance } = worker(this, at);
    const placed = this.world.entries[0]!.events.filter((event) =>
        event.kind === "placed" && event.instance === instance
    );
    assert.ok(placed.length <= most, `${placed.length}`);
});

Then("at most {int} worker is ejected", function(this: World, most: number) {
    const ejectedWorkers = new Set<string>();
    for (const event of this.world.entries[0]!.events) {
        if (event.kind === "workerHealth" && event.change === "ejected") {
            ejectedWorkers.add(event.instance);
        }
    }
    assert.ok(ejectedWorkers.size <= most, [...ejectedWorkers].join());
});

Then("at most {int} attempts were started", function(this: World, most: number) {
    assert.ok(this.world.workers.starts.length <= most, `${this.world.workers.starts.length}`);
});

Then("all of them have ended within {int} ms", async function(this: World, withinMs: number) {
    await this.clock.advance(withinMs);
    assert.equal(this.sent.filter(({ end }) => end === undefined).length, 0);
});

Then("all of them are answered within {int} ms", async function(this: World, withinMs: number) {
    await this.clock.advance(withinMs);
    assert.equal(this.sent.filter(({ end }) => codeOf(end) !== "answered").length, 0);
});

Then("a new task starts within {int} ms", async function(this: World, withinMs: number) {
    const sent = send(this, {});
    await this.clock.advance(withinMs);
    assert.notEqual(startOf(this, sent), undefined);
});

Then("it is refused at once as {string}, naming the largest instance", function(this: World, code: string) {
    const { end } = this.sent[0]!;
    assert.equal(codeOf(end), code);
    assert.match(end?.kind === "problem" ? end.problem.detail : "", /stalls-zone-1-1/);
});

Then("some were refused at once as {string} with Retry-After", function(this: World, code: string) {
    const refused = this.sent.filter(({ end }) => codeOf(end) === code);
    assert.ok(refused.length > 0);
    assert.ok(refused.every(({ sentAtMs, endedAtMs }) => (endedAtMs ?? Infinity) - sentAtMs <= 1));
    assert.ok(refused.every(({ end }) => end?.kind === "problem" && (end.problem.retryAfterSeconds ?? 0) > 0));
});

Then("at most {int} tasks were waiting at any time", function(this: World, most: number) {
    assert.ok(this.maxWaiting <= most, `${this.maxWaiting}`);
});

Then(
    "{int} end as {string} with outcome {string} within {int} ms",
    async function(this: World, count: number, code: string, outcome: string, withinMs: number) {
        await this.clock.advance(withinMs);
        const ended = this.sent.filter(({ end }) =>
            codeOf(end) === code && end?.kind === "problem" && end.problem.outcome === outcome
        );
        assert.equal(ended.length, count);
    },
);

Then("no entry had more than {int} requests in flight at one worker", function(this: World, most: number) {
    assert.ok(this.world.mostOrdersUnderWay() <= most);
});
