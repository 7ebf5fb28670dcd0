import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect } from "node:net";
import { pause } from "../../clock";
import { createListeners, defaultIntakeLimits, type Listener, type Listeners } from "../index";

interface World {
    listeners: Listeners | undefined;
    listener: Listener;
    received: string;
    openRequests: number;
    mostOpen: number;
}

const host = "127.0.0.1";
const maxBodyBytes = 100_000;

Before(function(this: World) {
    this.listeners = undefined;
    this.received = "";
    this.openRequests = 0;
    this.mostOpen = 0;
});

After(async function(this: World) {
    if (this.listeners !== undefined) {
        await new Promise((resolve) => this.listener.close(resolve));
        this.listeners.stop();
    }
});

async function listen(
    world: World,
    answer: (body: Buffer, request: IncomingMessage) => Promise<string>,
): Promise<void> {
    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        world.mostOpen = Math.max(world.mostOpen, ++world.openRequests);
        const pieces: Buffer[] = [];
        for await (const piece of request) {
            pieces.push(piece as Buffer);
        }
        const text = await answer(Buffer.concat(pieces), request);
        world.openRequests--;
        if (request.url === "/last" || request.url === "/") {
            response.setHeader("connection", "close");
        }
        response.end(text);
    }
    world.listeners = createListeners(defaultIntakeLimits, () => {});
    world.listener = world.listeners.create({
        name: "test",
        maxConnections: 10,
        maxBodyBytes,
        onRequest: (request, response) => void serve(request, response),
        writeRefusal(response, { status }) {
            response.writeHead(status, { connection: "close" });
            response.end();
        },
    });
    await new Promise<void>((resolve) => world.listener.listen(0, host, resolve));
}

/** Sends the pieces and reads until the connection is closed. */
async function exchange(world: World, pieces: readonly string[], endsHalf = false): Promise<void> {
    const socket = connect(world.listener.address().port, host);
    socket.on("data", (data) => world.received += String(data));
    const closed = new Promise((resolve) => socket.once("close", resolve));
    for (const piece of pieces) {
        socket.write(piece);
        await new Promise(setImmediate);
    }
    if (endsHalf) {
        socket.end();
    }
    await closed;
}

Given("a listener whose answers take longer the earlier they are asked for", function(this: World) {
    return listen(this, async (body, { url }) => {
        await pause(this.mostOpen < 8 ? 20 : 1);
        return `[${url} ${body.length}]`;
    });
});

Given("a listener that answers with the length of the body", function(this: World) {
    return listen(this, (body) => Promise.resolve(`[${body.length}]`));
});

When(
    "a client sends {int} requests with bodies of {int} bytes ahead, in pieces of {int} bytes",
    function(this: World, requests: number, bodyBytes: number, pieceBytes: number) {
        const paths = Array.from({ length: requests }, (_, at) => at === requests - 1 ? "/last" : `/${at}`);
        const text = paths.map((path) =>
            `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${bodyBytes}\r\n\r\n${"\n".repeat(bodyBytes)}`
        ).join("");
        const pieces = Array.from(
            { length: Math.ceil(text.length / pieceBytes) },
            (_, at) => text.slice(at * pieceBytes, (at + 1) * pieceBytes),
        );
        return exchange(this, pieces);
    },
);

When("a client sends {string}", function(this: World, bytes: string) {
    const text = bytes.replaceAll("␍", "\r").replaceAll("␊", "\n");
    return exchange(this, [text], text.includes("Connection: close"));
});

When("a client sends a head of {int} bytes", function(this: World, headBytes: number) {
    return exchange(this, [`GET / HTTP/1.1\r\nHost: a\r\nx: ${"x".repeat(headBytes)}\r\n\r\n`]);
});

Then("the answers come in order, and {int} requests were open at the most", function(this: World, most: number) {
    const answers = [...this.received.matchAll(/\[(\S+) (\d+)\]/g)].map(([, path]) => path);
    assert.deepEqual(answers, [...Array.from({ length: 19 }, (_, at) => `/${at}`), "/last"]);
    assert.equal(this.mostOpen, most);
});

Then("it receives status {int} and {string}", function(this: World, status: number, answer: string) {
    assert.ok(this.received.includes(`HTTP/1.1 ${status} `) && this.received.includes(`[${answer}]`), this.received);
});

Then("it receives status {int}", function(this: World, status: number) {
    assert.match(this.received, new RegExp(`^HTTP/1.1 ${status} `));
});
