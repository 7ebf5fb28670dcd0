import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { createFakeNetwork, type FakeNetwork } from "../../../standins/fakes";
import type { Dispatch, DispatchRequest } from "../../dispatch";
import { createProblem, Outcome, type Problem } from "../../errors";
import type { Limits } from "../../limits";
import type { Peer, Peers } from "../../peers";
import type { TaskEnd } from "../../tasks";
import { createForwarding } from "../createForwarding";

/** An entry with a dispatch that runs a task once there are free capacity and a worker. */
interface Entry {
    readonly peer: Peer;
    readonly peers: Peers;
    readonly started: string[];
    readonly stopped: string[];
    readonly roomListeners: Set<(team: string) => void>;
    hasFreeCapacity: boolean;
    /** Whether other entries are told that it has free capacity. */
    reportsFreeCapacity: boolean;
    hasWorker: boolean;
    onTask: () => void;
    readonly run: (request: DispatchRequest) => Promise<TaskEnd>;
}

interface World {
    clock: ReturnType<typeof install>;
    network: FakeNetwork;
    entries: Entry[];
    routed: string[];
    claims: number;
    refusal: Problem | undefined;
    onClaim: () => void;
    controller: AbortController;
    end: TaskEnd | undefined;
}

const team = "stables";

Before(function(this: World) {
    this.clock = install({ toFake: ["setTimeout", "clearTimeout", "Date"] });
    this.network = createFakeNetwork();
    this.entries = [];
    this.routed = [];
    this.claims = 0;
    this.refusal = undefined;
    this.onClaim = () => {};
    this.controller = new AbortController();
    this.end = undefined;
});

After(function(this: World) {
    this.clock.uninstall();
});

function addEntry(world: World, number: number, hasRoom: boolean): Entry {
    const peer = { boot: `boot-${number}`, instance: `entry-${number}`, region: "north", zone: "a", peerUrl: "" };
    const peers = world.network.connect(peer);
    const rooms = new Set<(team: string) => void>();
    const dispatch: Dispatch = {
        run: (request) => runWhenFree(entry, request),
        runningCount: () => 0,
        start() {},
        stop: () => Promise.resolve(),
    } as Pick<Dispatch, "run" | "runningCount" | "start" | "stop"> as Dispatch;
    const limits = {
        hasFreeCapacity: () => entry.hasFreeCapacity,
        findPeerWithCapacity: () => world.entries.find((other) => other !== entry && other.reportsFreeCapacity)?.peer,
        onCapacityAvailable(listener: (team: string) => void) {
            rooms.add(listener);
            return () => rooms.delete(listener);
        },
    } as Partial<Limits> as Limits;
    const { run } = createForwarding({
        dispatch,
        limits,
        peers,
        report: (event) => event.kind === "routed" && world.routed.push(event.toBoot),
        answerTimeoutMs: 5000,
    });
    const entry: Entry = {
        peer,
        peers,
        started: [],
        stopped: [],
        roomListeners: rooms,
        hasFreeCapacity: hasRoom,
        reportsFreeCapacity: hasRoom,
        hasWorker: true,
        onTask: () => {},
        run,
    };
    world.entries.push(entry);
    return entry;
}

async function runWhenFree(entry: Entry, { task, signal, beforeSend }: DispatchRequest): Promise<TaskEnd> {
    entry.onTask();
    while (!entry.hasFreeCapacity || !entry.hasWorker) {
        if (signal.aborted || Date.now() >= task.deadlineAtMs) {
            return { kind: "problem", problem: createProblem("CANCELLED", "gave up") };
        }
        await sleep(10);
    }
    const problem = await beforeSend();
    if (problem !== undefined) {
        return { kind: "problem", problem };
    }
    entry.started.push(task.id);
    const endAtMs = Date.now() + task.expectedRunMs;
    while (Date.now() < endAtMs) {
        if (signal.aborted) {
            entry.stopped.push(task.id);
            return {
                kind: "problem",
                problem: createProblem("CANCELLED", "stopped", { outcome: Outcome.Unknown }),
            };
        }
        await sleep(10);
    }
    return { kind: "answered", body: "done", instance: entry.peer.instance };
}

function sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}

async function submit(world: World, repeatable: boolean, expectedRunMs = 50): Promise<void> {
    const [first] = world.entries;
    assert.ok(first);
    const task = {
        id: "task-1",
        team,
        pool: "stalls",
        size: { processors: 1, memoryMb: 1, accelerators: 0 },
        expectedRunMs,
        deadlineAtMs: Date.now() + 20_000,
        urgent: false,
        repeatable,
        payload: "",
    };
    const beforeSend = async () => {
        world.claims++;
        world.onClaim();
        return world.refusal;
    };
    void first.run({ task, signal: world.controller.signal, beforeSend }).then((end) => {
        world.end = end;
    });
    await world.clock.tickAsync(20);
    first.roomListeners.forEach((listener) => listener(team));
    await world.clock.tickAsync(20);
}

Given("entry 1 without free capacity and entry 2 with free capacity", function(this: World) {
    addEntry(this, 1, false);
    addEntry(this, 2, true);
});

Given("entry 1 without free capacity and entry 2 whose free capacity was just used", function(this: World) {
    addEntry(this, 1, false);
    addEntry(this, 2, false).reportsFreeCapacity = true;
});

Given("entry 2 freezes when it gets a task", function(this: World) {
    const second = this.entries[1]!;
    second.onTask = () => {
        this.network.frozen.add(second.peer.boot);
        this.network.cuts.add("boot-2>boot-1");
        second.reportsFreeCapacity = false;
    };
});

Given("the link to entry 2 is cut while the task is claimed", function(this: World) {
    this.onClaim = () => {
        this.network.cuts.add("boot-1>boot-2");
        this.entries[1]!.reportsFreeCapacity = false;
    };
});

Given("entry 2 is told that entry 1 has free capacity and finds no worker", function(this: World) {
    this.entries[0]!.reportsFreeCapacity = true;
    this.entries[1]!.hasWorker = false;
});

Given("the claim or the key is refused", function(this: World) {
    this.refusal = createProblem("KEY_REJECTED", "withdrawn");
});

When("a task comes to entry 1", function(this: World) {
    return submit(this, true);
});

When("a non-repeatable task comes to entry 1", function(this: World) {
    return submit(this, false);
});

When("a long task comes to entry 1", function(this: World) {
    return submit(this, true, 60_000);
});

When("its caller cancels it", async function(this: World) {
    this.controller.abort();
    await this.clock.tickAsync(100);
});

When("entry 1 gets free capacity", async function(this: World) {
    await this.clock.tickAsync(100);
    this.entries[0]!.hasFreeCapacity = true;
});

When("entry 1 gets free capacity after {int} ms", async function(this: World, ms: number) {
    this.entries[1]!.roomListeners.forEach((listener) => listener(team));
    await this.clock.tickAsync(ms);
    this.entries[0]!.hasFreeCapacity = true;
});

Then(/^the task ends as "([^"]*)"(?: by entry (\d+))?$/, async function(this: World, outcome: string, by: string) {
    await this.clock.tickAsync(8000);
    assert.ok(this.end);
    assert.equal(this.end.kind === "problem" ? this.end.problem.outcome : "answered", outcome);
    if (by && this.end.kind === "answered") {
        assert.equal(this.end.instance, `entry-${by}`);
    }
});

Then("the task was claimed once before it was sent", function(this: World) {
    assert.equal(this.claims, 1);
    assert.deepEqual(this.routed, ["boot-2"]);
});

Then("entry {int} ran nothing", function(this: World, number: number) {
    assert.deepEqual(this.entries[number - 1]!.started, []);
});

Then("entry 1 was sent nothing", function(this: World) {
    assert.ok(!this.routed.includes("boot-1"));
});

Then("entry 2 stops the task", function(this: World) {
    assert.deepEqual(this.entries[1]!.stopped, ["task-1"]);
});
