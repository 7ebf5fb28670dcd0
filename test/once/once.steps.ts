import {
    After,
    AfterAll,
    BeforeAll,
    Given,
    setDefaultTimeout,
    Then,
    When,
    type World as CucumberWorld,
} from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { callHttp, type Fleet, type HttpAnswer, startFleet } from "../../standins/processes";

interface World extends CucumberWorld {
    ticket: string;
    payload: string;
    key: string;
    answers: HttpAnswer[];
    pending: Promise<HttpAnswer>[];
    other: HttpAnswer;
    otherMs: number;
    taskId: string;
    frozen: Promise<HttpAnswer>;
}

interface TeamKey {
    readonly keyId: string;
    readonly key: string;
}

setDefaultTimeout(60_000);

const pollMs = 10;
let fleet: Fleet;
let first: TeamKey;
let second: TeamKey;
let foreign: TeamKey;

function sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}

async function waitUntil(what: string, isTrue: () => Promise<boolean>): Promise<void> {
    const endAtMs = Date.now() + 20_000;
    while (!(await isTrue())) {
        assert.ok(Date.now() < endAtMs, `never: ${what}`);
        await sleep(pollMs);
    }
}

function post(entry: number, path: string, key: string, body?: unknown): Promise<HttpAnswer> {
    return callHttp("POST", fleet.entries[entry - 1]!.url + path, key, body ?? {});
}

function pay(entry: number, idempotencyKey: string, payload: string, more: object = {}): Promise<HttpAnswer> {
    return post(entry, "/v1/tasks", first.key, {
        pool: "stalls",
        size: { processors: 1, memoryMb: 100 },
        expectedRunMs: 10,
        deadlineMs: 15_000,
        repeatable: false,
        idempotencyKey,
        payload,
        ...more,
    });
}

async function countStarts(payload: string): Promise<number> {
    const counts = await Promise.all(fleet.workers.map(async ({ url }) => {
        const { body } = await callHttp("POST", `${url}/control`, undefined, {});
        return body.starts.filter((order: { payload: string; }) => order.payload === payload).length as number;
    }));
    return counts.reduce((sum, count) => sum + count, 0);
}

async function setPlatform(isDown: boolean): Promise<void> {
    await callHttp("POST", `${fleet.platform.url}/control`, undefined, { faults: { isDown } });
}

async function grant(team: string): Promise<TeamKey> {
    const { body } = await fleet.operate(fleet.entries[0]!, "POST", "/operator/keys", { team });
    await Promise.all(
        fleet.entries.map((_entry, at) =>
            waitUntil("the key is known", async () => (await post(at + 1, "/v1/tickets", body.key)).status === 201)
        ),
    );
    return body;
}

BeforeAll({ timeout: 60_000 }, async () => {
    fleet = await startFleet({ workerZones: ["zone-a", "zone-a"], entryZones: ["zone-a", "zone-a", "zone-a"] });
    const limit = { tasks: 6, processors: 100, memoryMb: 100_000, accelerators: 0 };
    await fleet.carryOut(fleet.entries[0]!, {
        pools: [{ name: "stalls", maxUnavailable: 1 }],
        teams: ["stables", "blenders"].map((name) => ({ name, weight: 1, limit, pools: ["stalls"] })),
        instances: fleet.workers.map(({ name, url, zone }) => ({
            name,
            url,
            zone,
            region: "north",
            rack: "rack-1",
            slots: 8,
            capacity: { processors: 32, memoryMb: 128_000 },
            pool: "stalls",
        })),
    });
    first = await grant("stables");
    foreign = await grant("blenders");
});

AfterAll(async () => {
    await fleet.stop();
});

After(async () => {
    await setPlatform(false);
});

/** An entry serves on the room of the team's limit that it holds when the platform goes down; without work it has none. */
Given("every entry has run work of the team", async () => {
    for (const entry of [1, 2, 3]) {
        await waitUntil("there is room", async () => {
            const { status } = await pay(entry, "", "before", { repeatable: true, idempotencyKey: undefined });
            return status === 200;
        });
    }
});

Given("a ticket issued by entry 1", async function(this: World) {
    const { status, body } = await post(1, "/v1/tickets", first.key);
    assert.equal(status, 201);
    this.ticket = body.ticket;
});

Given("the platform is down", () => setPlatform(true));

Then("the platform is up again", async () => {
    await setPlatform(false);
    await waitUntil("claims are taken", async () => (await pay(2, "chosen-while-up", "up again")).status === 200);
});

When("the payment is sent with the ticket through entries 2 and 3 at once", async function(this: World) {
    this.payload = "run 50 ticket";
    this.answers = await Promise.all([2, 3].map((entry) => pay(entry, this.ticket, this.payload)));
});

When("another payment is sent with the key {string} through entry 2", async function(this: World, key: string) {
    const startedAtMs = performance.now();
    this.other = await pay(2, key, "not guarded");
    this.otherMs = performance.now() - startedAtMs;
});

When("the payment is sent with the key {string} through entries 1, 2 and 3 at once", async function(
    this: World,
    key: string,
) {
    this.payload = `run 50 ${key}`;
    this.answers = await Promise.all([1, 2, 3].map((entry) => pay(entry, key, this.payload)));
});

Then(/^(?:both tickets|all) are answered by one start$/, async function(this: World) {
    assert.deepEqual(
        this.answers.map(({ status, body }) => [status, body.body ?? body]),
        this.answers.map(() => [200, `done ${this.payload}`]),
    );
    assert.equal(await countStarts(this.payload), 1);
});

Then("the other payment is refused with {string} within {int} ms and has not started", async function(
    this: World,
    code: string,
    limitMs: number,
) {
    assert.equal(this.other.body.code, code);
    assert.ok(this.otherMs < limitMs, `took ${this.otherMs} ms`);
    assert.match(this.other.body.hint, /ticket/);
    assert.ok(Number(this.other.headers["retry-after"]) > 0);
    assert.equal(await countStarts("not guarded"), 0);
});

Given("the payment {string} is sent with the key {string} through entry 1 and has started", async function(
    this: World,
    payload: string,
    key: string,
) {
    this.payload = payload;
    this.key = key;
    this.frozen = pay(1, key, payload);
    this.frozen.catch(() => {});
    await waitUntil("it has started", async () => await countStarts(payload) === 1);
});

When("entry 1 is frozen and the payment is sent again through entry 2", function(this: World) {
    fleet.entries[0]!.process.kill("SIGSTOP");
    this.pending = [pay(2, this.key, this.payload)];
});

When("entry 1 is woken once entry 2 has asked for the outcome", async function(this: World) {
    // The question waits in the socket of the frozen process; its worker ends the task meanwhile.
    await sleep(1000);
    fleet.entries[0]!.process.kill("SIGCONT");
    this.answers = await Promise.all([this.frozen, ...this.pending]);
});

Then("both senders get the same answer from one start", async function(this: World) {
    assert.deepEqual(this.answers.map(({ body }) => body.body ?? body), this.answers.map(() => `done ${this.payload}`));
    assert.equal(await countStarts(this.payload), 1);
});

Given("a second key fills the team's limit", async function(this: World) {
    second = await grant("stables");
    this.payload = "run 1000 fill";
    // Each entry may hold a part of the limit; enough work is sent to fill every part.
    this.pending = [1, 2, 3].flatMap((entry) =>
        Array.from({ length: 8 }, () =>
            post(entry, "/v1/tasks", second.key, {
                pool: "stalls",
                size: { processors: 1, memoryMb: 100 },
                expectedRunMs: 1000,
                deadlineMs: 15_000,
                repeatable: true,
                payload: this.payload,
            }))
    );
    await waitUntil("the limit is full", async () => await countStarts(this.payload) >= 6);
});

Given("a payment with the first key waits", async function(this: World) {
    const { body } = await pay(1, "withdrawn-key", "run 1 withdrawn", { wait: false });
    this.taskId = body.id;
});

When("the first key is withdrawn and the limit is free again", async function(this: World) {
    const answer = await fleet.operate(fleet.entries[1]!, "DELETE", `/operator/keys/${first.keyId}`);
    assert.equal(answer.status, 200);
    const confirmedAtMs = performance.now();
    const lastAcceptedMs = await Promise.all([1, 2, 3].map(async (entry) => {
        let lastMs = 0;
        await waitUntil("the key is refused", async () => {
            const sentMs = performance.now() - confirmedAtMs;
            const { status } = await post(entry, "/v1/tickets", first.key);
            lastMs = status === 401 ? lastMs : sentMs;
            return status === 401;
        });
        return lastMs;
    }));
    this.otherMs = Math.max(...lastAcceptedMs);
    this.log(`last acceptance ${this.otherMs.toFixed(1)} ms after the confirmation`);
    await Promise.all(this.pending);
});

Then("the payment is refused with {string} and has not started", async function(this: World, code: string) {
    const path = `/v1/tasks/${this.taskId}?waitMs=10000`;
    const { body } = await callHttp("GET", fleet.entries[0]!.url + path, second.key);
    assert.equal(body.code, code);
    assert.equal(await countStarts("run 1 withdrawn"), 0);
});

Then("no entry took the first key later than {int} ms after the confirmation", function(this: World, limitMs: number) {
    assert.ok(this.otherMs < limitMs, `the last acceptance came after ${this.otherMs} ms`);
    first = second;
});

When("a task is accepted for later by entry 1", async function(this: World) {
    const answer = await pay(1, "asked-for-later", "run 600 later", { wait: false });
    assert.equal(answer.status, 202);
    this.taskId = answer.body.id;
});

Then("entry 2 shows it running and then answered", async function(this: World) {
    const url = `${fleet.entries[1]!.url}/v1/tasks/${this.taskId}`;
    assert.equal((await callHttp("GET", url, first.key)).body.state, "running");
    const later = await callHttp("GET", `${url}?waitMs=10000`, first.key);
    assert.equal(later.body.body, "done run 600 later");
});

Then("a key of another team finds nothing", async function(this: World) {
    for (const method of ["GET", "DELETE"] as const) {
        const url = `${fleet.entries[1]!.url}/v1/tasks/${this.taskId}`;
        assert.equal((await callHttp(method, url, foreign.key)).body.code, "NOT_FOUND");
    }
});

Then("a task cancelled through entry 2 does not stay running", async function(this: World) {
    const { body } = await pay(1, "to-be-cancelled", "run 20000 cancelled", { wait: false });
    const url = `${fleet.entries[1]!.url}/v1/tasks/${body.id}`;
    await callHttp("DELETE", url, first.key);
    const later = await callHttp("GET", `${url}?waitMs=5000`, first.key);
    assert.notEqual(later.body.state, "running");
    assert.ok(["not run", "unknown"].includes(later.body.outcome), JSON.stringify(later.body));
});

When("entry 1 is killed and the payment is sent again through entries 2 and 3", async function(this: World) {
    fleet.entries[0]!.process.kill("SIGKILL");
    await fleet.entries[0]!.process.exited;
    this.answers = await Promise.all([2, 3].map((entry) => pay(entry, this.key, this.payload)));
});

Then("each is told {string} and there was one start", async function(this: World, outcome: string) {
    assert.deepEqual(this.answers.map(({ body }) => body.outcome), [outcome, outcome]);
    assert.equal(await countStarts(this.payload), 1);
});
