import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { callHttp, type Fleet, startFleet } from "../../standins/processes";

interface Example {
    readonly method: "GET" | "POST" | "DELETE";
    readonly path: string;
    readonly body: unknown;
    readonly status?: number;
    readonly expected?: Readonly<Record<string, unknown>>;
}

interface World {
    fleet: Fleet;
    key: string;
    mismatches: string[];
}

setDefaultTimeout(60_000);

After(async function(this: World) {
    await this.fleet.stop();
});

Given("a fleet and a team's key", async function(this: World) {
    this.fleet = await startFleet({ workerZones: ["zone-a"], entryZones: ["zone-a"] });
    const entry = this.fleet.entries[0]!;
    await this.fleet.carryOut(entry, {
        pools: [{ name: "stalls", maxUnavailable: 1 }],
        teams: [{
            name: "stables",
            weight: 1,
            limit: { tasks: 4, processors: 100, memoryMb: 100_000, accelerators: 0 },
            pools: ["stalls"],
        }],
        instances: this.fleet.workers.map(({ name, url, zone }) => ({
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
    this.key = (await this.fleet.operate(entry, "POST", "/operator/keys", { team: "stables" })).body.key;
});

/** Reads each `http` block and the `json STATUS` block that may follow it. */
function readExamples(text: string): readonly Example[] {
    const blocks = [...text.matchAll(/```(http|json (\d+))\n([\s\S]*?)```/g)];
    return blocks.flatMap(([, kind, , content = ""], at) => {
        if (kind !== "http") {
            return [];
        }
        const [first = "", ...rest] = content.trim().split("\n");
        const [method, path = ""] = first.split(" ");
        const answer = blocks[at + 1];
        const isAnswered = answer !== undefined && answer[1] !== "http";
        return [{
            method: method as Example["method"],
            path,
            body: rest.length === 0 ? undefined : JSON.parse(rest.join("\n")),
            ...isAnswered ? { status: Number(answer[2]), expected: JSON.parse(answer[3] ?? "") } : {},
        }];
    });
}

When("the examples of {string} are run in order", async function(this: World, file: string) {
    const examples = readExamples(readFileSync(file, "utf8"));
    assert.ok(examples.length > 8);
    const known: Record<string, string> = {};
    const fill = (text: string) => text.replace(/\{(ticket|id)\}/g, (whole, name: string) => known[name] ?? whole);
    this.mismatches = [];
    for (const { method, path, body, status, expected } of examples) {
        const sent = body === undefined ? undefined : JSON.parse(fill(JSON.stringify(body)));
        const answer = await callHttp(method, this.fleet.entries[0]!.url + fill(path), this.key, sent);
        Object.assign(
            known,
            answer.body.ticket && { ticket: answer.body.ticket },
            answer.body.id && { id: answer.body.id },
        );
        const isSame = status === undefined || status === answer.status
                && Object.entries(expected ?? {}).every(([name, value]) => answer.body[name] === value);
        if (!isSame) {
            this.mismatches.push(`${method} ${path}: ${answer.status} ${JSON.stringify(answer.body)}`);
        }
    }
});

Then("each answer is as the document says", function(this: World) {
    assert.deepEqual(this.mismatches, []);
});
