import { After, Before, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import { Packr } from "msgpackr";
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { request } from "undici";
import { createWorld, keptKey, type World as FleetWorld } from "../../soak/createWorld";
import { pause } from "../../src/clock";
import { type EntryProcess, type Fleet, startFleet } from "../../standins/processes";
import { plainRoute } from "../../standins/scheduling";
import { encodeSubmission } from "../../standins/usersPlatform";
import { type Crowd, openSilentSocket, type Peak, playCrowd, watchProcess } from "./startCrowd";

interface World {
    log(text: string): void;
    fleet: FleetWorld | undefined;
    ownFleet: Fleet | undefined;
    pid: number;
    peak: Peak;
    limits: { readonly memoryMb: number; readonly descriptors: number; };
    isRunning: () => boolean;
}

/** Descriptors of an instance that its files take, not its connections. */
const fileDescriptors = 200;

/** Seed of the addresses; nothing else is drawn. */
const seed = 57;

/** Time for a start, an answer or another condition, in milliseconds; no check depends on how much of it is used. */
const waitMs = 20_000;

/** Time to pass before a process that has run out of memory is seen to have ended, in milliseconds. */
const settleMs = 1000;

const headField = "ab:cd\r\n";

/** Opens a link; what follows are its frames. */
const linkHandshake = Buffer.from(
    "GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
        + "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n",
);

const packr = new Packr({ useRecords: false });

/** The first frame of a link, by which its peer names itself. */
function helloOf(peer: number): Buffer {
    const boot = `boot-${peer}`;
    const body = { boot, instance: boot, region: "north", zone: "zone-a", peerUrl: `ws://127.0.0.1:${peer + 1}` };
    return frameOf(packr.pack({ kind: "hello", peer: body }));
}

/** One frame of a link, masked with zeros: a request that is answered at once, as no part handles its topic. */
const linkRequest = frameOf(packr.pack({
    kind: "request",
    id: 1,
    topic: "x".repeat(64),
    body: 0,
}));

function frameOf(payload: Buffer): Buffer {
    const length = payload.length < 126 ? [0x80 | payload.length] : [0x80 | 126, 0, payload.length];
    return Buffer.concat([Buffer.from([0x82, ...length, 0, 0, 0, 0]), payload]);
}

/** How long a crowd stays after it has sent all, in milliseconds: what it sent may still be in buffers of the kernel. */
const stayMs = 5000;

setDefaultTimeout(120_000);

Before(function(this: World) {
    this.fleet = undefined;
    this.ownFleet = undefined;
    this.peak = { memoryMb: 0, descriptors: 0 };
});

After(async function(this: World) {
    this.fleet?.stop();
    await this.ownFleet?.stop();
});

Given(
    "an entry with a heap of {int} MB on an instance of {int} MB and {int} descriptors",
    function(this: World, heapMb: number, memoryMb: number, descriptors: number) {
        return startDaemon(this, heapMb, { memoryMb, descriptors });
    },
);

Given(
    "an entry with a heap of {int} MB that ends connections after {int} ms without progress",
    function(this: World, heapMb: number, maxUnreadMs: number) {
        return startDaemon(this, heapMb, { memoryMb: 350, descriptors: 4100 }, { maxUnreadMs });
    },
);

async function startDaemon(
    world: World,
    heapMb: number,
    { memoryMb, descriptors }: World["limits"],
    intake: Readonly<Record<string, number>> = {},
): Promise<void> {
    execFileSync(process.execPath, ["scripts/buildDaemon.mjs"]);
    world.limits = { memoryMb, descriptors };
    world.fleet = await createWorld({
        seed,
        entries: 1,
        workers: 1,
        entryOptions: {
            nodeFlags: [`--max-old-space-size=${heapMb}`, "--max-semi-space-size=2"],
            extraSettings: { limits: { memoryMb, maxFds: descriptors }, intake },
        },
    });
    const entry = entryOf(world);
    await waitUntil(() => entry.isReady(), "the entry doesn't become ready");
    const pid = entry.pid();
    assert.ok(pid !== undefined);
    world.pid = pid;
    world.isRunning = () => entry.pid() === pid;
}

/** Fails with `problem` if the condition doesn't come true. */
async function waitUntil(isTrue: () => Promise<boolean>, problem: string): Promise<void> {
    const startedAtMs = performance.now();
    while (!await isTrue()) {
        assert.ok(performance.now() - startedAtMs < waitMs, problem);
        await pause(50);
    }
}

Given("an entry with its own interface and a heap of {int} MB", async function(this: World, heapMb: number) {
    this.limits = { memoryMb: 350, descriptors: 4100 };
    this.ownFleet = await startFleet({
        workerZones: ["zone-a"],
        entryZones: ["zone-a"],
        entryNodeFlags: [`--max-old-space-size=${heapMb}`],
    });
    const { process: started } = ownEntryOf(this);
    this.pid = started.pid;
    let hasExited = false;
    void started.exited.then(() => hasExited = true);
    this.isRunning = () => !hasExited;
});

function entryOf({ fleet }: World): FleetWorld["entries"][number] {
    const entry = fleet?.entries[0];
    assert.ok(entry !== undefined);
    return entry;
}

function ownEntryOf({ ownFleet }: World): EntryProcess {
    const entry = ownFleet?.entries[0];
    assert.ok(entry !== undefined);
    return entry;
}

/** Runs `play` and records the greatest memory and number of descriptors of the entry meanwhile. */
async function watch(world: World, play: () => Promise<void>): Promise<void> {
    const watched = watchProcess(world.pid);
    try {
        await play();
        await pause(settleMs);
    }
    finally {
        watched.stop();
        world.peak = watched.peak;
    }
}

function sendTo(world: World, address: string, crowd: Omit<Crowd, "host" | "port">): Promise<void> {
    const [host = "", port = ""] = address.split(":");
    return watch(world, () => playCrowd({ ...crowd, host, port: Number(port) }));
}

/** Requests are sent in blocks of this many. */
const blockRequests = 1000;

function sendAhead(world: World, address: string, clients: number, requests: number, text: string): Promise<void> {
    const bytes = Buffer.from(text.replaceAll("\\r\\n", "\r\n").repeat(blockRequests));
    return sendTo(world, address, {
        connections: clients,
        bytes,
        times: requests / blockRequests,
        staysMs: stayMs,
    });
}

When(
    "{int} clients each send {int} times {string} to the client API",
    function(this: World, clients: number, requests: number, text: string) {
        return sendAhead(this, entryOf(this).clientAddress, clients, requests, text);
    },
);

When(
    "{int} clients each send {int} times {string} to the readiness probe",
    function(this: World, clients: number, requests: number, text: string) {
        return sendAhead(this, entryOf(this).readinessAddress, clients, requests, text);
    },
);

When(
    "{int} clients each send {int} times {string} to the metrics",
    function(this: World, clients: number, requests: number, text: string) {
        return sendAhead(this, entryOf(this).metricsAddress, clients, requests, text);
    },
);

When(
    "{int} clients each send {int} times {string} to its gateway",
    function(this: World, clients: number, requests: number, text: string) {
        return sendAhead(this, new URL(ownEntryOf(this).url).host, clients, requests, text);
    },
);

When(
    "{int} peers that don't read each send {int} requests on a link",
    function(this: World, peers: number, requests: number) {
        const bytes = Buffer.concat(Array.from({ length: blockRequests }, () => linkRequest));
        const crowd = {
            connections: peers,
            first: (peer: number) => Buffer.concat([linkHandshake, helloOf(peer)]),
            bytes,
            times: requests / blockRequests,
            staysMs: stayMs,
        };
        return sendTo(this, entryOf(this).peerUrl.replace("ws://", ""), crowd);
    },
);

When(
    "{int} clients each send a head of {int} bytes that does not end",
    function(this: World, clients: number, headBytes: number) {
        const bytes = Buffer.from("GET / HTTP/1.1\r\n" + headField.repeat(headBytes / headField.length));
        return sendTo(this, entryOf(this).clientAddress, { connections: clients, bytes, times: 1, staysMs: stayMs });
    },
);

When(
    "{int} clients each send a body that lacks its last byte of {int}",
    function(this: World, clients: number, bodyBytes: number) {
        const bytes = Buffer.from(postHead(bodyBytes) + " ".repeat(bodyBytes - 1));
        return sendTo(this, entryOf(this).clientAddress, { connections: clients, bytes, times: 1, staysMs: stayMs });
    },
);

When(
    "{int} clients each send {int} submissions of {int} steps without a key",
    function(this: World, clients: number, submissions: number, steps: number) {
        const body = JSON.stringify({ spec: "x", steps: Array.from({ length: steps }, () => ({ count: 1 })) });
        const bytes = Buffer.from(postHead(body.length) + body);
        return sendTo(this, entryOf(this).clientAddress, {
            connections: clients,
            bytes,
            times: submissions,
            staysMs: stayMs,
        });
    },
);

function postHead(bodyBytes: number, key?: string): string {
    const fields = [
        `POST ${plainRoute.pathPrefix}0123456789abcdef HTTP/1.1`,
        `Host: ${plainRoute.host}`,
        ...key === undefined ? [] : [`Authorization: Bearer ${key}`],
        "Content-Type: application/json",
        `Content-Length: ${bodyBytes}`,
    ];
    return `${fields.join("\r\n")}\r\n\r\n`;
}

const unknownRequest = "GET /nowhere/0123456789abcdef HTTP/1.1\r\nHost: a\r\n\r\n";

When("{int} clients connect to the client API and stay", function(this: World, clients: number) {
    const crowd = { connections: clients, bytes: Buffer.alloc(0), times: 0, staysMs: stayMs };
    return sendTo(this, entryOf(this).clientAddress, crowd);
});

When(
    "{int} clients each send {int} requests to a suspended entry and have gone when it continues",
    async function(this: World, clients: number, requests: number) {
        const entry = entryOf(this);
        const [host = "", port = ""] = entry.clientAddress.split(":");
        entry.signal("SIGSTOP");
        const bytes = Buffer.from(unknownRequest.repeat(requests));
        await playCrowd({ host, port: Number(port), connections: clients, bytes, times: 1 });
        entry.signal("SIGCONT");
    },
);

When(
    "a client sends {int} submissions ahead while the store is silent, and closes its connection",
    async function(this: World, submissions: number) {
        const entry = entryOf(this);
        const [host = "", port = ""] = entry.clientAddress.split(":");
        const body = JSON.stringify(encodeSubmission("payload", [{}]));
        const bytes = Buffer.from((postHead(body.length, keptKey) + body).repeat(submissions));
        entry.toStore.set({ kind: "silent" });
        await playCrowd({ host, port: Number(port), connections: 1, bytes, times: 1, staysMs: settleMs / 2 });
        entry.toStore.set({ kind: "open" });
    },
);

When(
    "a client sends requests ahead until its connection is ended, and never reads",
    function(this: World) {
        const [host = "", port = ""] = entryOf(this).clientAddress.split(":");
        const bytes = Buffer.from(unknownRequest.repeat(blockRequests));
        return watch(this, async () => {
            const socket = openSilentSocket(host, Number(port));
            // A turn of the event loop between writes, as the kernel may take all of them at once.
            const send = () => void (socket.destroyed || socket.write(bytes, () => setImmediate(send)));
            send();
            try {
                await waitUntil(() => Promise.resolve(socket.destroyed), "the connection is not ended");
            }
            finally {
                socket.destroy();
            }
        });
    },
);

Then("the entry has handled {int} of their requests at the most", async function(this: World, most: number) {
    let handled = -1;
    await waitUntil(async () => {
        const before = handled;
        handled = await readMetric(this, "samphirepin_requests_total{action=\"state\",outcome=\"noRoute\"}");
        await pause(settleMs);
        return handled === before;
    }, "the entry stays busy");
    assert.ok(handled <= most, `${handled} requests of clients that have gone`);
});

Then("no request stays open", async function(this: World) {
    await waitUntil(async () => await readMetric(this, "samphirepin_open_requests") === 0, "requests stay open");
});

/** Value of one series; 0 if the entry has not shown it yet. */
async function readMetric(world: World, series: string): Promise<number> {
    const answer = await request(`http://${entryOf(world).metricsAddress}/metrics`, {
        signal: AbortSignal.timeout(waitMs),
    });
    const line = (await answer.body.text()).split("\n").find((each) => each.startsWith(`${series} `));
    return Number(line?.slice(series.length) ?? 0);
}

Then("the process lives, within its memory and descriptors", function(this: World) {
    const { peak, limits } = this;
    const seen = `${peak.memoryMb.toFixed(0)} MB, ${peak.descriptors} descriptors at the most`;
    this.log(seen);
    assert.ok(this.isRunning(), `the process has ended: ${seen}`);
    assert.ok(peak.memoryMb <= limits.memoryMb, seen);
    assert.ok(peak.descriptors <= limits.descriptors - fileDescriptors, seen);
});

Then("an ordinary submission is accepted", async function(this: World) {
    const step = { size: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 } };
    const answer = await request(`http://${entryOf(this).clientAddress}${plainRoute.pathPrefix}00000000000000aa`, {
        method: "POST",
        headers: { host: plainRoute.host, authorization: `Bearer ${keptKey}`, "content-type": "application/json" },
        body: JSON.stringify(encodeSubmission("payload", [step])),
        signal: AbortSignal.timeout(waitMs),
    });
    assert.equal(answer.statusCode, 200, await answer.body.text());
});

Then("its gateway answers an ordinary request", async function(this: World) {
    const answer = await request(`${ownEntryOf(this).url}/health`, { signal: AbortSignal.timeout(waitMs) });
    assert.equal(answer.statusCode, 200, await answer.body.text());
});
