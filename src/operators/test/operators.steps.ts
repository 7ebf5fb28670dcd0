import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Right } from "purify-ts";
import { createFakeNetwork, createFakePlatform } from "../../../standins/fakes";
import { type Configuration, createConfiguration } from "../../configuration";
import type { Problem } from "../../errors";
import type { Plan } from "../../plans";
import { createKeyWatcher } from "../../platform";
import type { Change } from "../../state";
import { createPlanHandlers } from "../createPlanHandlers";
import type { Handler } from "../operatorContext";

interface Entry {
    readonly configuration: Configuration;
    readonly handlers: ReturnType<typeof createPlanHandlers>;
}

interface World {
    platform: ReturnType<typeof createFakePlatform>;
    network: ReturnType<typeof createFakeNetwork>;
    entries: Entry[];
    plan: Plan;
    answers: unknown[];
}

Given(
    "{int} entries with pool {string} of {int} instances",
    async function(this: World, entries: number, pool: string, count: number) {
        this.platform = createFakePlatform();
        this.network = createFakeNetwork();
        this.entries = Array.from({ length: entries }, (_, at) => {
            const platform = this.platform.connect(`boot-${at}`);
            const watcher = createKeyWatcher({ platform, watchMs: 1000, retryMs: 10 });
            const configuration = createConfiguration({ platform, watcher });
            const zone = { region: "north", zone: "zone-a" };
            const peers = this.network.connect({ boot: `boot-${at}`, instance: `entry-${at}`, peerUrl: "", ...zone });
            return {
                configuration,
                handlers: createPlanHandlers({
                    configuration,
                    peers,
                    limits: { readDivisions: () => Promise.resolve(Right([])) },
                    operatorHash: undefined,
                }),
            };
        });
        await change(this, [
            { kind: "setPool", pool: { name: pool, maxUnavailable: 1 } },
            ...Array.from({ length: count }, (_, at) => createAddition(`worker-${at}`, pool)),
        ]);
    },
);

function createAddition(name: string, pool: string): Change {
    const capacity = { processors: 32, memoryMb: 128_000, accelerators: 0 };
    const place = { region: "north", zone: "zone-a", rack: "rack-1" };
    return { kind: "addInstance", instance: { name, url: `http://${name}`, slots: 8, capacity, pool, ...place } };
}

async function change(world: World, changes: readonly Change[]): Promise<void> {
    const request = { by: "astrid", reason: "test", command: { kind: "change", changes } } as const;
    (await world.entries[0]!.configuration.append(request)).ifLeft(({ detail }) => assert.fail(detail));
    await refresh(world);
}

/** An append that is refused reads the log, so that the entry knows the newest state. */
async function refresh({ entries }: World): Promise<void> {
    const command = { kind: "change", changes: [{ kind: "withdrawKey", keyId: "none" }] } as const;
    await Promise.all(entries.map(({ configuration }) => configuration.append({ by: "", reason: "", command })));
}

function call(world: World, at: number, handler: Handler, params: Record<string, unknown>): Promise<unknown> {
    return handler({ operator: `operator-${at}`, state: world.entries[at - 1]!.configuration.state()!, params });
}

function confirm(world: World, at: number, body: Record<string, unknown> = {}): Promise<unknown> {
    return call(world, at, world.entries[at - 1]!.handlers.confirm, { id: world.plan.id, ...body });
}

async function makePlan(world: World, at: number, intent: Record<string, unknown>): Promise<void> {
    world.plan = await call(world, at, world.entries[at - 1]!.handlers.make, intent) as Plan;
}

When("a wave is planned at entry {int}", function(this: World, at: number) {
    return makePlan(this, at, { wave: {} });
});

When("a wave over pool {string} is planned at entry {int}", function(this: World, pool: string, at: number) {
    return makePlan(this, at, { wave: { pools: [pool] } });
});

When("a move of {string} to pool {string} is planned at entry {int}", function(this: World, instance, to, at: number) {
    return makePlan(this, at, { moves: [{ instance, to }] });
});

When("the plan is confirmed at entry {int}", async function(this: World, at: number) {
    this.answers = [await confirm(this, at)];
});

When("the plan is confirmed at entry {int} with the plan in the body", async function(this: World, at: number) {
    this.answers = [await confirm(this, at, { plan: this.plan })];
});

When("the plan is confirmed at both entries at once", async function(this: World) {
    this.answers = await Promise.all([confirm(this, 1), confirm(this, 2)]);
});

When("entry 1 is cut off from entry 2", function(this: World) {
    this.network.cuts.add("boot-0>boot-1");
});

When("the intent in the body is changed to remove {string}", function(this: World, name: string) {
    this.plan = { ...this.plan, intent: { ...this.plan.intent, removeInstances: [name], wave: undefined } };
});

When("the answer of the next write is lost", function(this: World) {
    this.platform.lostWriteAnswers = 1;
});

When("instance {string} is added to pool {string}", function(this: World, name: string, pool: string) {
    return change(this, [createAddition(name, pool)]);
});

When("pool {string} is added", function(this: World, name: string) {
    return change(this, [{ kind: "setPool", pool: { name, maxUnavailable: 1 } }]);
});

Then("the plan runs", async function(this: World) {
    assert.equal((this.answers[0] as { wasConfirmedBefore: boolean; }).wasConfirmedBefore, false);
    await refresh(this);
    assert.equal(this.entries[0]!.configuration.state()?.plans[this.plan.id]?.status.kind, "running");
});

Then("one of them was first", function(this: World) {
    const before = this.answers.map((answer) => (answer as { wasConfirmedBefore: boolean; }).wasConfirmedBefore);
    assert.deepEqual(before.sort(), [false, true]);
});

Then("confirming at entry {int} says it was confirmed before", async function(this: World, at: number) {
    const answer = await confirm(this, at) as { wasConfirmedBefore: boolean; };
    assert.equal(answer.wasConfirmedBefore, true);
    await refresh(this);
    assert.equal(Object.keys(this.entries[0]!.configuration.state()!.plans).length, 1);
});

Then("confirming at entry {int} answers {string}", async function(this: World, at: number, code: string) {
    this.answers = [await confirm(this, at)];
    assert.equal((this.answers[0] as Problem).code, code);
});

Then(
    "confirming at entry {int} with the plan in the body answers {string}",
    async function(this: World, at: number, code: string) {
        assert.equal((await confirm(this, at, { plan: this.plan }) as Problem).code, code);
    },
);

Then("the answer names {string} and the new step for {string}", function(this: World, changed: string, name: string) {
    const { fields = [] } = this.answers[0] as Problem;
    assert.ok(fields.some(({ field }) => field === changed), JSON.stringify(fields));
    assert.ok(fields.some(({ message }) => message.startsWith("now:") && message.includes(name)));
});

Then("an intent with a budget of -1 is refused naming {string}", async function(this: World, field: string) {
    const intent = { pools: [{ name: "stalls", maxUnavailable: -1 }] };
    const answer = await call(this, 1, this.entries[0]!.handlers.make, intent) as Problem;
    assert.deepEqual(answer.fields?.map((each) => each.field), [field]);
});
