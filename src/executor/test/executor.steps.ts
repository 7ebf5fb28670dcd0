import { After, type DataTable, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createFleetModel, type FleetModel, type ModelEntry, startSender } from "../../../standins/fleet";
import { createRandom } from "../../../standins/random";
import type { InstanceState } from "../../state";
import { rankOf } from "../index";

interface World {
    model: FleetModel;
    plans: string[];
    sleeper: ModelEntry | undefined;
    sleepCall: number;
    kinds: Map<string, InstanceState["kind"][]>;
    drainsAtMs: number[];
    drains: { readonly name: string; readonly atMs: number; }[];
    maintained: string[];
    maintainedAtMs: number[];
}

const waveIntent = { reason: "kernel update", wave: {} };

setDefaultTimeout(60_000);

After(function(this: World) {
    this.model?.stop();
});

function readPools(table: DataTable) {
    return table.hashes().map(({ name = "", instances, maxUnavailable, reserve }) => ({
        name,
        instances: Number(instances),
        maxUnavailable: Number(maxUnavailable),
        ...reserve === undefined ? {} : { reserve: Number(reserve) },
    }));
}

Given("{int} entries, and pools", async function(this: World, entries: number, table: DataTable) {
    this.model = await createFleetModel({ entries, pools: readPools(table) });
    this.plans = [];
    this.kinds = new Map();
    this.drainsAtMs = [];
    this.maintained = [];
    this.maintainedAtMs = [];
    this.drains = [];
    const { model } = this;
    model.onState((state) => {
        for (const { name, state: { kind } } of Object.values(state.instances)) {
            const kinds = this.kinds.get(name) ?? [];
            if (kinds.at(-1) !== kind) {
                this.kinds.set(name, [...kinds, kind]);
                if (kind === "draining") {
                    this.drainsAtMs.push(Date.now());
                    this.drains.push({ name, atMs: Date.now() });
                }
                if (kind === "serving" && kinds.length > 1) {
                    this.maintained.push(name);
                    this.maintainedAtMs.push(Date.now());
                }
            }
        }
    });
    await model.run(5000);
});

Given("every entry sends work", function(this: World) {
    const random = createRandom(1);
    this.model.entries.forEach((entry, at) => startSender(this.model, entry, 900 + 130 * at, 4000, random));
});

Given("the entry that appends step {int} dies right after", function(this: World, step: number) {
    let steps = 0;
    this.model.onCommand((client, command) => {
        steps += command.kind === "steps" ? command.steps.length : 0;
        if (command.kind === "steps" && steps >= step && steps - command.steps.length < step) {
            this.model.entries.find(({ boot }) => boot === client)?.kill();
        }
    });
});

Given(
    "the first in line for a wave falls asleep before its call {int} to the outside",
    function(this: World, call: number) {
        this.sleepCall = call;
    },
);

Given("the answers of the next {int} writes are lost", function(this: World, count: number) {
    this.model.platform.lostWriteAnswers = count;
});

Given("the first instance to reboot never comes back", function(this: World) {
    const { workers } = this.model.workers;
    const watch = () => {
        const rebooting = [...workers.values()].find(({ state }) => state === "rebooting");
        if (rebooting === undefined) {
            this.model.clock.setTimeout(watch, 100);
        }
        else {
            rebooting.isDead = true;
        }
    };
    watch();
});

Given("reboots take {int} s", function(this: World, seconds: number) {
    this.model.workers.rebootMs = seconds * 1000;
});

Given("every instance is listed as live", async function(this: World) {
    Object.keys(this.model.state().instances).forEach((name) => this.model.platform.instances.set(name, "live"));
    await this.model.run(5000);
});

Given(
    /^work that may (not )?be repeated runs on "([^"]+)" for (\d+) s$/,
    async function(this: World, not: string | undefined, name: string, seconds: string) {
        const { pool, url } = this.model.state().instances[name]!;
        void this.model.entries[0]!.workers.runTask({ instance: name, url }, {
            attempt: `long-${name}`,
            team: "stables",
            pool,
            assignmentNumber: 1,
            leaseMs: 24 * 3_600_000,
            holder: "boot-0",
            size: { processors: 1, memoryMb: 1, accelerators: 0 },
            isRepeatable: !not,
            payload: `run ${Number(seconds) * 1000}`,
        });
        await this.model.run(100);
    },
);

async function confirm(world: World, intent: unknown, by?: string): Promise<void> {
    const id = await world.model.confirm(intent, by);
    world.plans.push(id);
    if (world.sleepCall > 0) {
        const boots = world.model.entries.map(({ boot }) => boot);
        world.sleeper = world.model.entries.find(({ boot }) => rankOf(boot, id, boots) === 0)!;
        world.sleeper.gate.freezeAt = world.sleeper.gate.calls + world.sleepCall;
    }
}

When("instance {string} is to move to pool {string}", function(this: World, instance: string, to: string) {
    return confirm(this, { moves: [{ instance, to }] });
});

When("a wave over every pool is confirmed", function(this: World) {
    return confirm(this, waveIntent);
});

When("operator {string} confirms a wave over every pool", function(this: World, by: string) {
    return confirm(this, { ...waveIntent, reason: "firmware" }, by);
});

When("a wave with a drain deadline of {int} s is confirmed", function(this: World, seconds: number) {
    return confirm(this, { ...waveIntent, policy: { drainDeadlineMs: seconds * 1000 } });
});

When("pools {string} and {string} are merged into {string}", function(this: World, a: string, b: string, into: string) {
    return confirm(this, { merges: [{ from: [a, b], into }] });
});

When("{int} s pass", function(this: World, seconds: number) {
    return this.model.run(seconds * 1000);
});

When("the sleeper wakes", function(this: World) {
    assert.equal(this.sleeper?.gate.isFrozen, true, "it never fell asleep");
    this.model.wake(this.sleeper!);
});

When("the platform is down for {int} s", async function(this: World, seconds: number) {
    this.model.platform.isDown = true;
    this.drainsAtMs.length = 0;
    await this.model.run(seconds * 1000);
    this.model.platform.isDown = false;
});

When("every worker of rack {string} dies", function(this: World, rack: string) {
    setDead(this.model, rack, true);
});

When("the workers of rack {string} answer again", function(this: World, rack: string) {
    setDead(this.model, rack, false);
});

function setDead(model: FleetModel, rack: string, isDead: boolean): void {
    Object.values(model.state().instances).filter((instance) => instance.rack === rack).forEach(({ name }) => {
        model.workers.workers.get(name)!.isDead = isDead;
    });
}

When("instance {string} is listed as {word}", function(this: World, name: string, status: "live" | "leaving") {
    this.model.platform.instances.set(name, status);
});

When("the plan is {word}", async function(this: World, what: "paused" | "resumed" | "cancelled") {
    const kind = ({ paused: "pausePlan", resumed: "resumePlan", cancelled: "cancelPlan" } as const)[what];
    (await this.model.appendAs("operator", { kind, plan: this.plans[0]! })).ifLeft(({ detail }) => assert.fail(detail));
});

async function awaitFinished({ model, plans }: World, seconds: number): Promise<void> {
    const isOver = () => plans.every((plan) => model.isFinished(plan));
    await model.run(seconds * 1000, isOver);
    const states = plans.map((plan) => model.state().plans[plan]);
    assert.ok(isOver(), JSON.stringify(states.map((state) => ({ ...state, waiting: Object.keys(state!.waiting) }))));
}

Then("the plan is finished within {int} s", function(this: World, seconds: number) {
    return awaitFinished(this, seconds);
});

Then("both plans are finished within {int} s", function(this: World, seconds: number) {
    return awaitFinished(this, seconds);
});

function countIn(model: FleetModel, pool: string): number {
    return Object.values(model.state().instances).filter((instance) => instance.pool === pool).length;
}

Then(
    "pool {string} has {int} instances and pool {string} has {int}",
    function(this: World, a: string, countA: number, b: string, countB: number) {
        assert.deepEqual([countIn(this.model, a), countIn(this.model, b)], [countA, countB]);
    },
);

Then("the steps of {string} were {string}", function(this: World, name: string, steps: string) {
    assert.equal(this.kinds.get(name)?.slice(1).join(", "), steps);
});

Then("no promise was broken", function(this: World) {
    assert.deepEqual(this.model.judge.violations, []);
});

Then("half of the first rack was back before any other rack began", function(this: World) {
    const { instances } = this.model.state();
    const [first = ""] = this.maintained;
    const other = this.drains.find(({ name }) => instances[name]!.rack !== instances[first]!.rack)!;
    assert.equal(this.drains[1]!.atMs >= this.maintainedAtMs[0]!, true, "the second began before the first was back");
    assert.ok(this.maintainedAtMs.filter((atMs) => atMs <= other.atMs).length >= 2, JSON.stringify(other));
    assert.ok(this.drains.slice(0, 2).every(({ name }) => instances[name]!.rack === instances[first]!.rack));
});

Then("every instance was rebooted {int} time(s)", function(this: World, times: number) {
    const boots = [...this.model.workers.workers.values()].map(({ instance, boots }) => `${instance} ${boots - 1}`);
    assert.deepEqual(boots, Object.keys(this.model.state().instances).map((name) => `${name} ${times}`));
});

Then("every instance is serving as the log says", function(this: World) {
    for (const { name, pool, assignmentNumber, state } of Object.values(this.model.state().instances)) {
        const worker = this.model.workers.workers.get(name)!;
        const truth = [worker.state, worker.pool, worker.assignmentNumber];
        assert.deepEqual(truth, [state.kind, pool, assignmentNumber], name);
    }
});

Then(
    /^at most (\d+) instances? of pool "([^"]+)" (?:was|were) out at once$/,
    function(this: World, most: string, pool) {
        assert.equal(this.model.judge.mostOut.get(pool), Number(most));
    },
);

Then("no drain began meanwhile", function(this: World) {
    assert.deepEqual(this.drainsAtMs, []);
});

Then("the plan has stopped", function(this: World) {
    assert.equal(this.model.state().plans[this.plans[0]!]?.status.kind, "stopped");
});

Then("the plan has stopped, and {int} instance was drained", function(this: World, drains: number) {
    assert.equal(this.model.state().plans[this.plans[0]!]?.status.kind, "stopped");
    assert.equal(this.drainsAtMs.length, drains);
});

Then("no instance was drained in the last {int} s", function(this: World, seconds: number) {
    assert.deepEqual(this.drainsAtMs.filter((atMs) => atMs > Date.now() - seconds * 1000), []);
});

Then(/^(\d+) instances? (?:has|have) been maintained$/, function(this: World, count: string) {
    const maintained = Object.values(this.model.state().instances).filter((each) => each.maintainedAtMs !== undefined);
    assert.equal(maintained.length, Number(count));
});

Then("{string} is {word}", function(this: World, name: string, kind: string) {
    assert.equal(this.model.state().instances[name]?.state.kind, kind);
});

Then("no work is sent to {string} any more", async function(this: World, name: string) {
    const count = () => this.model.workers.starts.filter(({ instance }) => instance === name).length;
    const before = count();
    assert.ok(before > 0, "there was no work at all");
    await this.model.run(10_000);
    assert.equal(count(), before);
});

Then("the only pool left is {string}, with {int} instances", function(this: World, pool: string, count: number) {
    assert.deepEqual(Object.keys(this.model.state().pools), [pool]);
    assert.equal(countIn(this.model, pool), count);
});
