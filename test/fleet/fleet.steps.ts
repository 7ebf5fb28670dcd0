import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { callHttp, type EntryProcess, type Fleet, type HttpAnswer, startFleet } from "../../standins/processes";

interface World {
    fleet: Fleet;
    key: string;
    work: { readonly entry: EntryProcess; readonly answer: Promise<HttpAnswer | undefined>; }[];
    boots: string[];
    plan: string;
    killed: EntryProcess | undefined;
}

const pollMs = 50;
const patienceMs = 60_000;

setDefaultTimeout(90_000);

After(async function(this: World) {
    await this.fleet.stop();
});

async function poll<T>(what: string, look: () => T | undefined | Promise<T | undefined>): Promise<T> {
    for (const endAtMs = Date.now() + patienceMs; Date.now() < endAtMs;) {
        const seen = await look();
        if (seen !== undefined) {
            return seen;
        }
        await new Promise((resolve) => setTimeout(resolve, pollMs));
    }
    throw new Error(`${what}: not within ${patienceMs} ms`);
}

Given(
    "a fleet of {int} workers in pools {string} and {string}, and {int} entries",
    async function(this: World, workers: number, first: string, second: string, entries: number) {
        const inZoneA = (count: number) => Array.from({ length: count }, () => "zone-a");
        this.fleet = await startFleet({ workerZones: inZoneA(workers), entryZones: inZoneA(entries) });
        this.work = [];
        const pools = [first, second];
        const limit = { tasks: 100, processors: 100, memoryMb: 100_000, accelerators: 0 };
        const entry = this.fleet.entries[0]!;
        await this.fleet.carryOut(entry, {
            pools: pools.map((name) => ({ name, maxUnavailable: 1 })),
            teams: [{ name: "stables", weight: 1, limit, pools }],
            instances: this.fleet.workers.map(({ name, url, zone }, at) => ({
                name,
                url,
                zone,
                region: "north",
                rack: "rack-1",
                slots: 8,
                capacity: { processors: 32, memoryMb: 128_000 },
                pool: pools[at < workers / 2 ? 0 : 1],
            })),
        });
        this.key = (await this.fleet.operate(entry, "POST", "/operator/keys", { team: "stables" })).body.key;
        this.boots = await readBoots(this.fleet);
    },
);

async function readBoots(fleet: Fleet): Promise<string[]> {
    return Promise.all(fleet.workers.map(async ({ url }) => (await callHttp("GET", `${url}/usage`)).body.workerBoot));
}

Given(
    "work runs on every instance for {int} ms through every entry",
    async function(this: World, runMs: number) {
        const send = (entry: EntryProcess) =>
            callHttp("POST", `${entry.url}/v1/tasks`, this.key, {
                pool: "stalls",
                size: { processors: 1, memoryMb: 100 },
                expectedRunMs: runMs,
                deadlineMs: 30_000,
                repeatable: true,
                payload: `run ${runMs}`,
            });
        await Promise.all(this.fleet.entries.map((entry) =>
            poll("the key is known", async () => {
                const { status } = await callHttp("POST", `${entry.url}/v1/tasks`, this.key, {
                    pool: "stalls",
                    size: { processors: 1, memoryMb: 1 },
                    expectedRunMs: 1,
                    deadlineMs: 5000,
                    repeatable: true,
                    payload: "run 0",
                });
                return status === 200 ? true : undefined;
            })
        ));
        for (const entry of [...this.fleet.entries, ...this.fleet.entries]) {
            this.work.push({ entry, answer: send(entry).catch(() => undefined) });
        }
        await poll("work runs", async () => {
            const usages = await Promise.all(
                this.fleet.workers.slice(0, 2).map(({ url }) => callHttp("GET", `${url}/usage`)),
            );
            return usages.every(({ body }) => body.runningTasks > 0) ? true : undefined;
        });
    },
);

async function confirm(world: World, intent: unknown): Promise<void> {
    const confirmed = await world.fleet.carryOut(world.fleet.entries[0]!, intent);
    world.plan = (confirmed as { id: string; }).id;
}

When("{string} is moved to pool {string}", function(this: World, instance: string, to: string) {
    return confirm(this, { moves: [{ instance, to }] });
});

When("a wave over every pool is confirmed", function(this: World) {
    return confirm(this, { wave: {} });
});

When("the entry that began the {word} is killed", async function(this: World, what: "drain" | "reboot") {
    const step = what === "drain" ? "\"beginDrain\"" : "\"beginReboot\"";
    this.killed = await poll(
        `a ${what} begins`,
        () =>
            this.fleet.entries.find(({ process: { lines } }) =>
                lines.some((line) => line.includes("planStep") && line.includes(step))
            ),
    );
    this.killed.process.kill("SIGKILL");
    await this.killed.process.exited;
});

Then("the plan finishes", async function(this: World) {
    const entry = this.fleet.entries.find((each) => each !== this.killed)!;
    await poll("the plan finishes", async () => {
        const { body } = await this.fleet.operate(entry, "GET", `/operator/plans/${this.plan}`);
        return body.status?.kind === "finished" ? true : undefined;
    });
});

Then("{string} is in pool {string}", async function(this: World, name: string, pool: string) {
    const entry = this.fleet.entries.find((each) => each !== this.killed)!;
    const { body } = await this.fleet.operate(entry, "GET", "/operator/instances");
    const instance = (body as { name: string; pool: string; state: { kind: string; }; }[])
        .find((each) => each.name === name)!;
    assert.deepEqual([instance.pool, instance.state.kind], [pool, "serving"]);
});

Then("the work of the other entries is answered", async function(this: World) {
    for (const { entry, answer } of this.work.filter((each) => each.entry !== this.killed)) {
        const { status, body } = (await answer)!;
        assert.equal(status, 200, `${entry.name}: ${JSON.stringify(body)}`);
    }
});

Then("every worker has been rebooted", async function(this: World) {
    const boots = await readBoots(this.fleet);
    assert.ok(boots.every((boot, at) => boot !== this.boots[at]), boots.join());
});
