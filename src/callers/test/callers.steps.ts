import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import * as fc from "fast-check";
import { ServiceBroker } from "moleculer";
import assert from "node:assert/strict";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { connect } from "node:net";
import { request } from "undici";
import { createFakeNetwork } from "../../../standins/fakes";
import { findFreePort } from "../../../standins/processes";
import type { Configuration } from "../../configuration";
import { createGateway } from "../../http";
import { createSecret } from "../../keys";
import { createListeners, defaultIntakeLimits, type Listeners } from "../../listeners";
import type { Members } from "../../members";
import { createMetrics } from "../../metrics";
import type { IdempotencyGuard } from "../../once";
import { createEmptyState } from "../../state";
import type { TaskEnd, TaskRequest, Tasks } from "../../tasks";
import { createCallers } from "../createCallers";
import { createTaskTable } from "../createTaskTable";

interface Exchange {
    readonly sent: unknown;
    readonly status: number;
    readonly type: string;
    readonly body: Record<string, unknown>;
}

interface World {
    broker: ServiceBroker;
    listeners: Listeners;
    standStill: (() => void) | undefined;
    url: string;
    port: number;
    key: string;
    ran: { request: TaskRequest; signal: AbortSignal; }[];
    exchanges: Exchange[];
    code: string;
}

setDefaultTimeout(30_000);

/** Channel of the runtime on which it tells of each request that its HTTP servers have begun to handle. */
const requestStart = "http.server.request.start";

const seed = 11;
const maxBodyMs = 300;
const maxBodyBytes = 512 * 1024;
const answered: TaskEnd = { kind: "answered", body: "done", instance: "worker-1" };

After(async function(this: Partial<World>) {
    await this.broker?.stop();
    this.listeners?.stop();
    if (this.standStill !== undefined) {
        unsubscribe(requestStart, this.standStill);
    }
});

async function startEntry(world: World, end: () => Promise<TaskEnd>): Promise<void> {
    const secret = createSecret();
    const limit = { tasks: 1, processors: 1, memoryMb: 1, accelerators: 0 };
    const keys = { [secret.id]: { hash: secret.hash, grantedAtMs: 0 } };
    const teams = { stables: { name: "stables", weight: 1, limit, pools: ["stalls"], keys } };
    const state = { ...createEmptyState(), revision: 1, teams };
    const peer = { boot: "boot-0", instance: "entry-0", region: "north", zone: "zone-a", peerUrl: "ws://boot-0" };
    world.ran = [];
    world.exchanges = [];
    world.key = secret.text;
    world.port = await findFreePort();
    world.url = `http://127.0.0.1:${world.port}`;
    world.broker = new ServiceBroker({ logger: false });
    world.listeners = createListeners({ ...defaultIntakeLimits, maxBodyMs }, () => {});
    world.broker.createService(createCallers({
        boot: "boot-0",
        configuration: { state: () => state } as unknown as Configuration,
        tasks: {
            run(task: TaskRequest, signal: AbortSignal) {
                world.ran.push({ request: task, signal });
                return end();
            },
            runningCount: () => 0,
        } satisfies Tasks,
        once: {} as IdempotencyGuard,
        peers: createFakeNetwork().connect(peer),
        members: { isGone: () => false } as unknown as Members,
        report: () => {},
        metrics: createMetrics(),
        isStopping: () => false,
    }));
    world.broker.createService(createGateway({
        host: "127.0.0.1",
        port: world.port,
        maxBodyBytes,
        listeners: world.listeners,
        maxConnections: 100,
        metricsText: () => Promise.resolve(""),
        isReady: () => true,
        aliases: {
            "POST /v1/tasks": "callers.submit",
            "GET /v1/tasks/:id": "callers.show",
            "DELETE /v1/tasks/:id": "callers.cancel",
        },
    }));
    await world.broker.start();
}

Given("an entry whose tasks answer at once", function(this: World) {
    return startEntry(this, () => Promise.resolve(answered));
});

Given("an entry whose tasks never end", function(this: World) {
    return startEntry(this, () => new Promise(() => {}));
});

Given("it stands still for {int} ms when a request comes", function(this: World, ms: number) {
    this.standStill = () => {
        const endsAtMs = performance.now() + ms;
        while (performance.now() < endsAtMs) {
            // Holds the event loop, as a machine does that gives the process no time.
        }
    };
    subscribe(requestStart, this.standStill);
});

async function exchange(world: World, method: "GET" | "POST" | "DELETE", path: string, sent?: unknown): Promise<void> {
    const response = await request(world.url + path, {
        method,
        headers: { authorization: `Bearer ${world.key}`, "content-type": "application/json" },
        ...sent === undefined ? {} : { body: JSON.stringify(sent) },
    });
    const text = await response.body.text();
    const type = String(response.headers["content-type"]);
    world.exchanges.push({ sent, status: response.statusCode, type, body: JSON.parse(text) });
}

const valid = {
    pool: "stalls",
    size: { processors: 1, memoryMb: 10, accelerators: 0 },
    expectedRunMs: 10,
    deadlineMs: 1000,
    urgent: false,
    repeatable: false,
    idempotencyKey: "some-key-1",
    payload: "work",
    wait: true,
};

When("{int} random bodies are sent", async function(this: World, runs: number) {
    const names = [...Object.keys(valid), "size.processors", "__proto__", "id", "team"];
    const broken = fc.tuple(fc.constantFrom(...names), fc.jsonValue()).map(([name, value]) => ({
        ...valid,
        [name]: value,
    }));
    const body = fc.oneof(fc.jsonValue(), broken, fc.constant(valid));
    await fc.assert(
        fc.asyncProperty(body, (sent) => exchange(this, "POST", "/v1/tasks", sent)),
        { numRuns: runs, seed },
    );
});

Then("each was taken as it was sent or refused with a problem document", function(this: World) {
    for (const { status, type, body, sent } of this.exchanges) {
        if (status === 200 || status === 202) {
            continue;
        }
        const what = JSON.stringify({ sent, status, type, body });
        assert.ok(status >= 400 && status < 500, what);
        assert.match(type, /problem\+json/, what);
        assert.equal(body["outcome"], "not run", what);
        assert.ok(typeof body["code"] === "string" && typeof body["hint"] === "string", what);
    }
});

Then("no refused body reached the tasks", function(this: World) {
    const taken = this.exchanges.filter(({ status }) => status === 200 || status === 202);
    assert.ok(taken.length > 0);
    assert.equal(this.ran.length, taken.length);
    for (const [at, { request: task }] of this.ran.entries()) {
        const sent = taken[at]!.sent as typeof valid;
        assert.deepEqual(
            [task.team, task.pool, task.payload, task.repeatable, task.idempotencyKey, task.size],
            ["stables", sent.pool, sent.payload ?? "", sent.repeatable, sent.idempotencyKey, sent.size],
        );
    }
});

When("{int} random ids are asked for and cancelled", async function(this: World, runs: number) {
    const id = fc.oneof(
        fc.string({ minLength: 1 }),
        fc.uuid().map((each) => `boot-0.${each}`),
        fc.constant("boot-9.x"),
    );
    const property = fc.asyncProperty(id, fc.constantFrom("GET" as const, "DELETE" as const), async (each, method) => {
        await exchange(this, method, `/v1/tasks/${encodeURIComponent(each)}?waitMs=${encodeURIComponent(each)}`);
    });
    await fc.assert(property, { numRuns: runs, seed });
});

Then("each was refused with a problem document", function(this: World) {
    this.exchanges.forEach(({ status, type, body }) => {
        assert.ok(status >= 400 && status < 600 && /problem\+json/.test(type), JSON.stringify(body));
    });
});

When("a body comes slower than the entry waits", async function(this: World) {
    const socket = connect(this.port, "127.0.0.1");
    const head = `POST /v1/tasks HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${this.key}\r\n`
        + "content-type: application/json\r\ncontent-length: 100\r\n\r\n{";
    socket.write(head);
    let text = "";
    socket.on("data", (data) => text += String(data));
    await new Promise((resolve) => socket.once("close", resolve));
    this.code = /"code":"(\w+)"/.exec(text)?.[1] ?? text;
});

When("a body of {int} bytes is sent", async function(this: World, bytes: number) {
    await exchange(this, "POST", "/v1/tasks", { ...valid, payload: "x".repeat(bytes) });
    this.code = String(this.exchanges[0]!.body["code"]);
});

Then("the client is told {string}", function(this: World, code: string) {
    assert.equal(this.code, code);
    assert.equal(this.ran.length, 0);
});

Then("a table of {int} tasks keeps the newest {int} that have ended", async function(maxTasks: number, kept: number) {
    const table = createTaskTable({ maxTasks, maxAnswerChars: 1000, keptMs: 60_000 });
    for (let at = 0; at < 10; at++) {
        await table.add(`task-${at}`, "stables", () => Promise.resolve(answered))?.ended;
    }
    assert.equal(table.size(), kept);
    assert.ok(table.find("task-9") !== undefined && table.find("task-6") === undefined);
});

Then("it turns a task away while {int} are under way", function(maxTasks: number) {
    const table = createTaskTable({ maxTasks, maxAnswerChars: 1000, keptMs: 60_000 });
    const added = Array.from({ length: 4 }, (_, at) => table.add(`task-${at}`, "stables", () => new Promise(() => {})));
    assert.deepEqual(added.map((task) => task !== undefined), [true, true, true, false]);
});

Then("it keeps at most {int} characters of answers", async function(maxAnswerChars: number) {
    const table = createTaskTable({ maxTasks: 100, maxAnswerChars, keptMs: 60_000 });
    for (let at = 0; at < 10; at++) {
        await table.add(`task-${at}`, "stables", () => Promise.resolve(answered))?.ended;
    }
    assert.ok(table.answerChars() <= maxAnswerChars);
});

When("callers of a repeatable task and of a payment go away", async function(this: World) {
    for (const repeatable of [true, false]) {
        const controller = new AbortController();
        const sent = request(`${this.url}/v1/tasks`, {
            method: "POST",
            headers: { authorization: `Bearer ${this.key}`, "content-type": "application/json" },
            body: JSON.stringify({ ...valid, repeatable }),
            signal: controller.signal,
        });
        sent.catch(() => {});
        const wanted = repeatable ? 1 : 2;
        while (this.ran.length < wanted) {
            await new Promise((resolve) => setTimeout(resolve, 5));
        }
        controller.abort();
    }
    const { signal } = this.ran[0]!;
    await new Promise<void>((resolve) =>
        signal.aborted ? resolve() : signal.addEventListener("abort", () => resolve())
    );
});

Then("the repeatable task alone is cancelled", function(this: World) {
    assert.deepEqual(this.ran.map(({ signal }) => signal.aborted), [true, false]);
});
