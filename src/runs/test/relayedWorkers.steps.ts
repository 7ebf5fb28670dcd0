import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import { createFakeNetwork, type FakeNetwork } from "../../../standins/fakes";
import {
    createRelayedWorkerApi,
    type StartRequest,
    type StartResult,
    type WorkerApi,
    type WorkerTarget,
} from "../index";

interface Call {
    readonly by: string;
    readonly worker: string;
    readonly request?: StartRequest;
}

interface World {
    clock: Clock;
    network: FakeNetwork;
    isBusy: boolean;
    calls: Call[];
    workers: WorkerApi;
    peerNames: readonly string[];
    start: StartResult | undefined;
}

const startRequest: StartRequest = {
    task: "5c0e7a21d94b36f8.0.0.0",
    run: 2,
    payload: "payload",
    checkpoint: "",
    leaseUntilMs: 1800,
    token: 7,
    ticket: undefined,
};

Before(function(this: World) {
    this.clock = installClock();
    this.network = createFakeNetwork();
    this.isBusy = false;
    this.calls = [];
    this.start = undefined;
});

After(function(this: World) {
    this.clock.uninstall();
});

/** Workers that record which entry called them. */
function createRecordingWorkers(world: World, by: string): WorkerApi {
    const record = ({ id }: WorkerTarget, request?: StartRequest) =>
        world.calls.push({ by, worker: id, ...request === undefined ? {} : { request } });
    const taken = { kind: "taken", workerMs: 1 } as const;
    return {
        start(worker, request) {
            record(worker, request);
            return Promise.resolve({ kind: "started", workerMs: 1 });
        },
        poll(worker) {
            record(worker);
            return Promise.resolve({
                kind: "listed",
                workerMs: 1,
                bornMs: undefined,
                running: [],
                ended: [],
                areEndsComplete: true,
            });
        },
        stop(worker) {
            record(worker);
            return Promise.resolve(taken);
        },
        pace(worker) {
            record(worker);
            return Promise.resolve(taken);
        },
    };
}

function addEntry(world: World, boot: string): WorkerApi {
    const peers = world.network.connect({ boot, instance: boot, region: "r", zone: "z", peerUrl: `ws://${boot}` });
    return createRelayedWorkerApi({
        direct: createRecordingWorkers(world, boot),
        peers,
        isBusy: () => world.isBusy,
        nowMs: () => performance.now(),
    });
}

Given("a leader with {int} peer/peers", function(this: World, count: number) {
    this.workers = addEntry(this, "leader");
    this.peerNames = Array.from({ length: count }, (_, at) => `peer-${at + 1}`);
    this.peerNames.forEach((name) => addEntry(this, name));
});

Given("the leader is busy", function(this: World) {
    this.isBusy = true;
});

Given("the peers are cut off from the leader during the next call", function(this: World) {
    setTimeout(() => this.peerNames.forEach((name) => this.network.cuts.add(`leader>${name}`)), 0);
});

When("the links are restored", function(this: World) {
    this.network.cuts.clear();
});

When("it polls {int} worker/workers", async function(this: World, count: number) {
    const request = { token: 7, ackedEnd: 0, leaseUntilMs: 4500, waitMs: 0 };
    const polls = Array.from({ length: count }, (_, at) => this.workers.poll({ id: `w${at}`, address: "" }, request));
    await this.clock.advance(1000);
    (await Promise.all(polls)).forEach(({ kind }) => assert.equal(kind, "listed"));
});

When("a task is started", async function(this: World) {
    void this.workers.start({ id: "w0", address: "" }, startRequest).then((result) => this.start = result);
    await this.clock.advance(1000);
});

Then("{int} call/calls was/were made by {string}", function(this: World, count: number, by: string) {
    assert.equal(this.calls.filter((call) => call.by === by).length, count);
});

Then("{int} calls were made by each peer", function(this: World, count: number) {
    for (const name of this.peerNames) {
        assert.equal(this.calls.filter(({ by }) => by === name).length, count, name);
    }
});

Then("each worker was called by one entry", function(this: World) {
    const routes = new Set(this.calls.map(({ by, worker }) => `${by} ${worker}`));
    assert.equal(routes.size, new Set(this.calls.map(({ worker }) => worker)).size);
});

Then("the start request has no answer", function(this: World) {
    assert.equal(this.start?.kind, "noAnswer");
});

Then("the worker has received the request unchanged", function(this: World) {
    assert.deepEqual(this.calls, [{ by: "peer-1", worker: "w0", request: startRequest }]);
});
