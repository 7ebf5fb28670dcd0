import { type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { applyCommand, type Change, createEmptyState, type FleetState } from "../../state";
import { createPlan, intentSchema, type Plan, type PoolEffect } from "../index";

interface World {
    state: FleetState;
    budget: number;
    plan: Plan;
}

function readNumbers(text: string): number[] {
    return text.split(", ").map(Number);
}

Given(
    "pools {string} over {int} zones with a budget of {int}",
    function(this: World, sizes: string, zones: number, budget: number) {
        let at = 0;
        this.budget = budget;
        const changes = readNumbers(sizes).flatMap((size, pool): Change[] => [
            { kind: "setPool", pool: { name: `pool-${pool}`, maxUnavailable: budget } },
            ...Array.from({ length: size }, () => createAddition(at++, zones, `pool-${pool}`)),
        ]);
        this.state = createEmptyState();
        const record = { id: "1", by: "astrid", atMs: 0, reason: "", command: { kind: "change", changes } } as const;
        this.state = applyCommand(this.state, record).unsafeCoerce();
    },
);

function createAddition(at: number, zones: number, pool: string): Change {
    const capacity = { processors: 32, memoryMb: 128_000, accelerators: 0 };
    const rack = Math.floor(at / 4);
    const place = { region: "north", zone: `zone-${rack % zones}`, rack: `rack-${rack}` };
    const name = `worker-${at}`;
    return { kind: "addInstance", instance: { name, url: `http://${name}`, slots: 8, capacity, pool, ...place } };
}

function plan(world: World, intent: unknown): void {
    world.plan = createPlan(world.state, intentSchema.parse(intent));
}

When("the pools shall have {string} instances", function(this: World, sizes: string) {
    plan(this, {
        pools: readNumbers(sizes).map((instances, at) => ({
            name: `pool-${at}`,
            maxUnavailable: this.budget,
            instances,
        })),
    });
});

When("a wave is asked for within {int} minutes", function(this: World, minutes: number) {
    const startMs = Date.UTC(2027, 0, 1);
    const [notBefore, notAfter] = [startMs, startMs + minutes * 60_000].map((ms) => new Date(ms).toISOString());
    plan(this, { wave: { notBefore, notAfter } });
});

When("instance {string} is stated in pool {string}", function(this: World, name: string, pool: string) {
    const { assignmentNumber: _number, state: _state, ...spec } = this.state.instances[name]!;
    plan(this, { instances: [{ ...spec, pool }] });
});

Then("the plan has {int} moves, and no plan has fewer", function(this: World, moves: number) {
    assert.deepEqual([this.plan.moves, this.plan.fewestMoves, this.plan.refusals], [moves, moves, []]);
});

function poolAfter(world: World, name: string): string | undefined {
    const item = world.plan.work[name];
    return item?.kind === "move" ? item.to : world.state.instances[name]?.pool;
}

Then("after the moves the pools have {string} instances", function(this: World, sizes: string) {
    const pools = Object.keys(this.state.instances).map((name) => poolAfter(this, name));
    const counts = readNumbers(sizes).map((_, at) => pools.filter((pool) => pool === `pool-${at}`).length);
    assert.equal(counts.join(", "), sizes);
});

Then("the instances of pool {string} lie in {int} zones", function(this: World, pool: string, zones: number) {
    const members = Object.values(this.state.instances).filter(({ name }) => poolAfter(this, name) === pool);
    assert.equal(new Set(members.map(({ zone }) => zone)).size, zones);
});

Then("the plan cannot be met because {string}", function(this: World, reason: string) {
    assert.ok(this.plan.refusals.some((refusal) => refusal.includes(reason)), this.plan.refusals.join("; "));
});

Then("the effects are", function(this: World, table: DataTable) {
    const rows = table.hashes();
    const fields = Object.keys(rows[0]!) as (keyof PoolEffect)[];
    const shown = this.plan.effects.map((effect) => fields.map((field) => String(effect[field])));
    assert.deepEqual(shown, rows.map((row) => fields.map((field) => row[field])));
});
