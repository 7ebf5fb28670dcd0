import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { callHttp, createPoolIntent, type Fleet, type HttpAnswer, startFleet } from "../../standins/processes";

interface World {
    fleet: Fleet;
    key: string;
    keyId: string;
    answers: HttpAnswer[];
}

setDefaultTimeout(60_000);

After(async function(this: World) {
    await this.fleet.stop();
});

Given("a platform, {int} worker(s) and {int} entries", async function(this: World, workers: number, entries: number) {
    this.fleet = await startFleet({
        workerZones: Array.from({ length: workers }, () => "zone-a"),
        entryZones: Array.from({ length: entries }, () => "zone-a"),
    });
});

Given("pool {string} and team {string} with a key", async function(this: World, pool: string, team: string) {
    const entry = this.fleet.entries[0]!;
    await this.fleet.carryOut(entry, createPoolIntent(this.fleet, { pool, teams: [{ name: team, tasks: 4 }] }));
    const granted = await this.fleet.operate(entry, "POST", "/operator/keys", { team });
    this.key = granted.body.key;
    this.keyId = granted.body.keyId;
});

When("the team sends a task to each entry", async function(this: World) {
    this.answers = [];
    for (const [at, { url }] of this.fleet.entries.entries()) {
        let answer = await sendTask(url, this.key, `task ${at}`);
        while (answer.status === 401 || answer.status === 503) {
            await new Promise((resolve) => setTimeout(resolve, 20));
            answer = await sendTask(url, this.key, `task ${at}`);
        }
        this.answers.push(answer);
    }
});

When("the key is withdrawn at entry 1", async function(this: World) {
    const answer = await this.fleet.operate(this.fleet.entries[0]!, "DELETE", `/operator/keys/${this.keyId}`);
    assert.equal(answer.status, 200);
});

Then("each task is answered with its own payload", function(this: World) {
    assert.deepEqual(this.answers.map(({ body }) => body.body), ["done task 0", "done task 1"]);
});

Then("entry 2 refuses the key within {int} ms", async function(this: World, limitMs: number) {
    const endAtMs = Date.now() + limitMs;
    let answer = await sendTask(this.fleet.entries[1]!.url, this.key, "late");
    while (answer.status !== 401 && Date.now() < endAtMs) {
        await new Promise((resolve) => setTimeout(resolve, 20));
        answer = await sendTask(this.fleet.entries[1]!.url, this.key, "late");
    }
    assert.equal(answer.body.code, "KEY_REJECTED");
});

function sendTask(url: string, key: string, payload: string): Promise<HttpAnswer> {
    return callHttp("POST", `${url}/v1/tasks`, key, {
        pool: "stalls",
        size: { processors: 1, memoryMb: 100 },
        expectedRunMs: 10,
        deadlineMs: 5000,
        repeatable: true,
        payload,
    });
}
