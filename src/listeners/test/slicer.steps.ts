import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createRequestSlicer, type RequestSlicer, type SlicerGate } from "../createRequestSlicer";

interface World {
    slicer: RequestSlicer;
    slices: string[];
}

const maxHeadBytes = 16_384;
const open: SlicerGate = { mayBegin: true, isIncomplete: false };
const shut: SlicerGate = { mayBegin: false, isIncomplete: false };

/** Takes all that may be taken. A head that begins with PUT announces the length of its body. */
function takeAll(slicer: RequestSlicer, gate: SlicerGate = open): string[] {
    const slices: string[] = [];
    for (let next = slicer.next(gate); next !== "none"; next = slicer.next(gate)) {
        const slice = slicer.take().toString("latin1");
        slices.push(slice);
        const length = next === "begin" ? /^PUT (\d+)/.exec(slice)?.[1] : undefined;
        if (length !== undefined) {
            slicer.beginBody({ kind: "length", bytes: Number(length) });
        }
    }
    return slices;
}

/** Reads a list such as `"a␍␊", "b"`. */
function readTexts(list: string): readonly string[] {
    return (JSON.parse(`[${list}]`) as string[]).map((text) => text.replaceAll("␍", "\r").replaceAll("␊", "\n"));
}

When(/^a slicer is given (".*")$/, function(this: World, pieces: string) {
    this.slicer = createRequestSlicer(maxHeadBytes);
    this.slices = readTexts(pieces).flatMap((piece) => {
        this.slicer.append(Buffer.from(piece));
        return takeAll(this.slicer);
    });
});

Then(/^its slices are (".*")$/, function(this: World, slices: string) {
    assert.deepEqual(this.slices, readTexts(slices));
});

When("a slicer is given a chunked request and {int} bytes", function(this: World, count: number) {
    this.slicer = createRequestSlicer(maxHeadBytes);
    this.slicer.append(Buffer.from("POST /a\r\n\r\n" + "x".repeat(count)));
    assert.equal(this.slicer.next(open), "begin");
    this.slicer.take();
    this.slicer.beginBody({ kind: "chunked" });
    this.slices = takeAll(this.slicer);
    assert.equal(this.slices.join("").length, count);
});

Then("no slice after the first is longer than {int} bytes", function(this: World, most: number) {
    assert.ok(this.slices.every((slice) => slice.length <= most));
});

When(
    "a slicer with a limit of {int} bytes is given a head of {int} bytes that does not end",
    function(this: World, limit: number, count: number) {
        this.slicer = createRequestSlicer(limit);
        this.slicer.append(Buffer.from("x".repeat(count - 1)));
        assert.equal(this.slicer.next(open), "none");
        this.slicer.append(Buffer.from("x"));
    },
);

Then("it is passed on to be refused", function(this: World) {
    assert.equal(this.slicer.next(open), "begin");
    this.slicer.take();
    assert.equal(this.slicer.waitingBytes(), 0);
});

When(
    "a slicer has taken the head of a request with a body while no further request may begin",
    function(this: World) {
        this.slicer = createRequestSlicer(maxHeadBytes);
        this.slicer.append(Buffer.from("PUT 3\r\n\r\nabcGET /b\r\n\r\n"));
        this.slicer.take();
        this.slicer.beginBody({ kind: "length", bytes: 3 });
    },
);

Then("the body is passed on, and the request behind it is not", function(this: World) {
    assert.deepEqual(takeAll(this.slicer, shut), ["abc"]);
    assert.deepEqual(takeAll(this.slicer), ["GET /b\r\n\r\n"]);
});

const body = fc.string({ unit: fc.constantFrom("a", "\r", "\n"), maxLength: 30 });
const requests = fc.array(body.map((text) => ({ head: `PUT ${text.length}\r\nk: v\r\n\r\n`, body: text })), {
    maxLength: 20,
});

Then("each request of {int} lists in random pieces is passed on in slices of its own", (runs: number) => {
    fc.assert(
        fc.property(requests, fc.array(fc.integer({ min: 1, max: 60 }), { minLength: 1 }), (list, sizes) => {
            const slicer = createRequestSlicer(maxHeadBytes);
            const text = list.map((request) => request.head + request.body).join("");
            const slices: string[] = [];
            for (let at = 0, turn = 0; at < text.length; turn++) {
                const size = sizes[turn % sizes.length] ?? 1;
                slicer.append(Buffer.from(text.slice(at, at + size)));
                slices.push(...takeAll(slicer));
                at += size;
            }
            assert.equal(slices.join(""), text);
            assert.deepEqual(slices.filter((slice) => slice.startsWith("PUT")), list.map(({ head }) => head));
        }),
        { numRuns: runs, seed: 57 },
    );
});
