import { After, Given, Then, When } from "@cucumber/cucumber";
import { type Clock, install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { type Cluster, createCluster, createRequest } from "../../../bench/once/createCluster";
import type { TaskEnd, TaskRequest } from "../../tasks";

interface Sent {
    readonly request: TaskRequest;
    end: TaskEnd | undefined;
}

interface World {
    clock: Clock;
    cluster: Cluster;
    key: string;
    sent: Sent[];
}

const runMs = 300;
const settleMs = 45_000;
/** Long enough for a refusal, and shorter than the maximum age of cached claims for lookups at admission. */
const refusalMs = 250;

After(function(this: Partial<World>) {
    this.clock?.uninstall();
});

Given("{int} entries with a fake clock", async function(this: World, entries: number) {
    this.clock = install({
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"],
    });
    const creating = createCluster({ entries, workers: 2 });
    await this.clock.tickAsync(2000);
    this.cluster = await creating;
    this.key = "payment-0";
    this.sent = [];
});

function send(world: World, entry: number, key = world.key, change: Partial<TaskRequest> = {}): Sent {
    const request = { ...createRequest(`request-${world.sent.length}`, key, runMs, 20_000), ...change };
    const sent: Sent = { request, end: undefined };
    world.sent.push(sent);
    void world.cluster.send(entry, request).then((end) => {
        sent.end = end;
    });
    return sent;
}

function isClaim(key: string, text: string): boolean {
    return key.startsWith("samphirepin/claims/") && JSON.parse(text).records.length > 0;
}

/** Calls `act` once at the moment that the scenario names. */
function atMoment(cluster: Cluster, moment: string, act: () => void): void {
    let isDone = false;
    const actOnce = (isNow: boolean) => {
        if (isNow && !isDone) {
            isDone = true;
            act();
        }
    };
    switch (moment) {
        case "before its claim":
            setTimeout(() => actOnce(true), 0);
            return;
        case "after its claim":
            cluster.platform.onWrite = (_client, key, text) => actOnce(isClaim(key, text));
            return;
        case "after its send":
            cluster.workers.onChange = () => actOnce(cluster.workers.starts.length > 0);
            return;
        case "after its answer":
            cluster.workers.onChange = () => actOnce(cluster.workers.starts.length > 0 && countRunning(cluster) === 0);
            return;
        default:
            throw new Error(`no such moment: ${moment}`);
    }
}

function countRunning({ workers }: Cluster): number {
    return [...workers.workers.values()].reduce((sum, { running }) => sum + running.size, 0);
}

function cutOff({ network, entries }: Cluster, at: number): void {
    const boot = entries[at]!.peer.boot;
    entries.filter(({ peer }) => peer.boot !== boot).forEach(({ peer }) => {
        network.cuts.add(`${boot}>${peer.boot}`);
        network.cuts.add(`${peer.boot}>${boot}`);
    });
}

When(/^a payment is sent through entry 0, which is killed (.*)$/, async function(this: World, moment: string) {
    atMoment(this.cluster, moment, () => this.cluster.kill(0));
    send(this, 0);
    await this.clock.tickAsync(1000);
});

When(/^a payment is sent through entry 0, which is frozen (.*) for (\d+) ms$/, async function(
    this: World,
    moment: string,
    lastsMs: string,
) {
    atMoment(this.cluster, moment, () => {
        this.cluster.freeze(0);
        setTimeout(() => this.cluster.wake(0), Number(lastsMs));
    });
    send(this, 0);
    await this.clock.tickAsync(1000);
});

When(
    "a payment is sent through entry 0, which is cut off from the others after its claim",
    async function(this: World) {
        atMoment(this.cluster, "after its claim", () => setTimeout(() => cutOff(this.cluster, 0), 5));
        send(this, 0);
        await this.clock.tickAsync(100);
    },
);

When(
    "a payment is sent through entry 0, and the platform stops responding after the write of its claim",
    async function(this: World) {
        atMoment(this.cluster, "after its claim", () => {
            this.cluster.platform.isDown = true;
        });
        send(this, 0);
        await this.clock.tickAsync(10_000);
    },
);

When("a payment is sent through entry 0", async function(this: World) {
    send(this, 0);
    await this.clock.tickAsync(15);
});

When("entry 1 refuses the payment for a withdrawn key", async function(this: World) {
    send(this, 1, this.key, { keyId: "withdrawn" });
    await this.clock.tickAsync(refusalMs);
});

Then("the first caller is told {string} with {string} at once", function(this: World, outcome: string, code: string) {
    const { end } = this.sent[0]!;
    assert.deepEqual(end?.kind === "problem" && [end.problem.outcome, end.problem.code], [outcome, code]);
});

Then("the last caller is told {string}", async function(this: World, outcome: string) {
    await this.clock.tickAsync(settleMs);
    assert.equal(outcomeOf(this.sent.at(-1)!), outcome);
});

When("it is sent again through entry 1", async function(this: World) {
    send(this, 1);
    await this.clock.tickAsync(settleMs);
});

When("another payment is sent with the same key through entry 1", async function(this: World) {
    send(this, 1, this.key, { payload: "run 1 of another amount" });
    await this.clock.tickAsync(settleMs);
});

When("{int} payments are each sent through both entries at once", async function(this: World, count: number) {
    for (let at = 0; at < count; at++) {
        send(this, 0, `payment-${at}`);
        send(this, 1, `payment-${at}`);
    }
    await this.clock.tickAsync(settleMs);
});

When("the payment is sent through all entries at once", async function(this: World) {
    this.cluster.entries.forEach((_entry, at) => send(this, at));
    await this.clock.tickAsync(settleMs);
});

When("entry 0 is killed", function(this: World) {
    this.cluster.kill(0);
    send(this, 0);
});

Given("a ticket of entry 0", function(this: World) {
    this.key = this.cluster.entries[0]!.core.once.issueTicket("stables").ticket;
});

Given("the entries cannot reach each other", function(this: World) {
    cutOff(this.cluster, 0);
});

Given("the answers to the next {int} writes of claims are lost", function(this: World, count: number) {
    this.cluster.platform.lostWriteAnswers = count;
});

Given("each call to the platform takes {int} ms", function(this: World, ms: number) {
    this.cluster.platform.delayMs = ms / 2;
});

Given("the platform is down", function(this: World) {
    this.cluster.platform.isDown = true;
});

When("the platform is back", function(this: World) {
    this.cluster.platform.isDown = false;
});

Given("no worker can be reached", function(this: World) {
    this.cluster.workers.workers.forEach((worker) => worker.isDead = true);
});

When("the workers can be reached again", async function(this: World) {
    await this.clock.tickAsync(settleMs);
    this.cluster.workers.workers.forEach((worker) => worker.isDead = false);
});

function outcomeOf({ end }: Sent): string | undefined {
    return end === undefined ? "no answer" : end.kind === "answered" ? "answered" : end.problem.outcome;
}

Then(/^the (first|second) caller is told "([^"]*)"(?: with "(.*)")?$/, async function(
    this: World,
    which: string,
    outcome: string,
    code: string | undefined,
) {
    await this.clock.tickAsync(settleMs);
    const sent = this.sent[which === "first" ? 0 : 1]!;
    assert.equal(outcomeOf(sent), outcome, JSON.stringify(sent.end));
    if (code !== undefined) {
        assert.equal(sent.end?.kind === "problem" && sent.end.problem.code, code);
    }
    if (sent.end?.kind === "answered") {
        assert.equal(sent.end.body, `done ${sent.request.payload}`);
    }
});

Then("every caller is told {string}", function(this: World, outcome: string) {
    assert.deepEqual(this.sent.map(outcomeOf), this.sent.map(() => outcome));
});

function countStarts({ cluster }: World, payload: string): number {
    return cluster.workers.starts.filter(({ order }) => order.payload === payload).length;
}

Then("the payment was started {int} times", function(this: World, count: number) {
    assert.equal(countStarts(this, this.sent[0]!.request.payload), count);
});

Then("the payment was started at most once", function(this: World) {
    assert.ok(countStarts(this, this.sent[0]!.request.payload) <= 1);
});

Then("every payment was started {int} times", function(this: World, count: number) {
    this.sent.forEach(({ request }) => assert.equal(countStarts(this, request.payload), count, request.payload));
});

Then("for each payment one caller is told {string} and the other {string}", function(
    this: World,
    one: string,
    other: string,
) {
    for (let at = 0; at < this.sent.length; at += 2) {
        assert.deepEqual(this.sent.slice(at, at + 2).map(outcomeOf).sort(), [one, other]);
    }
});

Then("no payment whose caller was told {string} was started", function(this: World, outcome: string) {
    const started = new Set(
        this.cluster.workers.starts.map(({ order }) => this.cluster.requestOfAttempt.get(order.attempt)),
    );
    const told = this.sent.filter((sent) => outcomeOf(sent) === outcome);
    assert.ok(told.length > 0);
    told.forEach(({ request }) => assert.ok(!started.has(request.id)));
});

async function codeOf(world: World, key: string): Promise<string> {
    const sent = send(world, 0, key);
    await world.clock.tickAsync(settleMs);
    return sent.end?.kind === "problem" ? sent.end.problem.code : "none";
}

Then("a ticket of another team is refused as {string}", async function(this: World, code: string) {
    const { ticket } = this.cluster.entries[0]!.core.once.issueTicket("blenders");
    assert.equal(await codeOf(this, ticket), code);
});

Then("a forged ticket is refused as {string}", async function(this: World, code: string) {
    const { ticket } = this.cluster.entries[0]!.core.once.issueTicket("stables");
    assert.equal(await codeOf(this, `${ticket.slice(0, -4)}AAAA`), code);
});

Then("a ticket that is older than its lifetime is refused as {string}", async function(this: World, code: string) {
    const { ticket, lifetimeMs } = this.cluster.entries[0]!.core.once.issueTicket("stables");
    await this.clock.tickAsync(lifetimeMs + 1);
    assert.equal(await codeOf(this, ticket), code);
});
