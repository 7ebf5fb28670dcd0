import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    applyCommand,
    type Change,
    type Command,
    type ConfirmedPlan,
    createEmptyState,
    type FleetState,
    type Step,
    type WorkItem,
} from "../index";

interface World {
    state: FleetState;
    wave: ConfirmedPlan;
}

const policy = {
    startsWithRack: true,
    maxInFlight: 10,
    stopAfterFailures: 2,
    soakMs: 1000,
    drainDeadlineMs: 1000,
    checkpointAfterMs: 1000,
    returnDeadlineMs: 1000,
};

function tryApply({ state }: World, command: Command) {
    return applyCommand(state, { id: "1", by: "astrid", atMs: 1000, reason: "test", command });
}

function apply(world: World, command: Command): void {
    world.state = tryApply(world, command).mapLeft(({ detail }) => assert.fail(detail)).unsafeCoerce();
}

function isRefused(world: World, command: Command): void {
    assert.ok(tryApply(world, command).isLeft());
}

function createPlan(id: string, madeAtRevision: number, work: Record<string, WorkItem>): ConfirmedPlan {
    return { id, madeAtRevision, reason: "", touches: {}, changes: [], work, afterwards: [], policy };
}

function createAddition(name: string, url: string): Change {
    const capacity = { processors: 32, memoryMb: 128_000, accelerators: 0 };
    const place = { region: "north", zone: "zone-a", rack: "rack-1", pool: "stalls" };
    return { kind: "addInstance", instance: { name, url, slots: 8, capacity, ...place } };
}

Given(
    /^a pool of (\d+) instances with budget (\d+), and a confirmed (wave|move to an empty pool)$/,
    function(this: World, count: string, maxUnavailable: string, kind: string) {
        this.state = createEmptyState();
        const names = Array.from({ length: Number(count) }, (_, at) => `worker-${at}`);
        apply(this, {
            kind: "change",
            changes: [
                { kind: "setPool", pool: { name: "stalls", maxUnavailable: Number(maxUnavailable) } },
                { kind: "setPool", pool: { name: "empty", maxUnavailable: 1 } },
                ...names.map((name) => createAddition(name, `http://${name}`)),
            ],
        });
        const item: WorkItem = kind === "wave" ? { kind: "maintain" } : { kind: "move", from: "stalls", to: "empty" };
        this.wave = createPlan("wave", this.state.revision, Object.fromEntries(names.map((name) => [name, item])));
        apply(this, { kind: "confirmPlan", plan: this.wave });
    },
);

function createDrain(instance: string, assignmentNumber = 1): Step {
    return { kind: "beginDrain", plan: "wave", instance, assignmentNumber };
}

When("a drain of {string} begins at assignment {int}", function(this: World, instance: string, number: number) {
    apply(this, { kind: "steps", steps: [createDrain(instance, number)] });
});

When("{string} is reported lost", function(this: World, instance: string) {
    const step: Step = { kind: "reportLost", cause: "silent", instance, assignmentNumber: 1, detail: "no answer" };
    apply(this, { kind: "steps", steps: [step] });
});

When("drains of {string} and {string} begin in one command", function(this: World, a: string, b: string) {
    apply(this, { kind: "steps", steps: [createDrain(a), createDrain(b)] });
});

When("the wave is cancelled and {int} further plans are confirmed", function(this: World, count: number) {
    apply(this, { kind: "cancelPlan", plan: "wave" });
    for (let at = 0; at < count; at++) {
        apply(this, { kind: "confirmPlan", plan: createPlan(`plan-${at}`, this.state.revision, {}) });
    }
    assert.equal(this.state.plans["wave"] ?? this.state.endedPlans["wave"], undefined);
});

Then("finishing the drain of {string} at assignment {int} is refused", function(this: World, instance, number: number) {
    isRefused(this, { kind: "steps", steps: [{ kind: "finishDrain", instance, assignmentNumber: number }] });
});

Then(
    "finishing the drain of {string} at assignment {int} is accepted",
    function(this: World, instance, number: number) {
        apply(this, { kind: "steps", steps: [{ kind: "finishDrain", instance, assignmentNumber: number }] });
    },
);

Then("beginning a drain of {string} at assignment {int} is refused", function(this: World, instance, number: number) {
    isRefused(this, { kind: "steps", steps: [createDrain(instance, number)] });
});

Then("{string} is draining and {string} is serving", function(this: World, a: string, b: string) {
    const kinds = [a, b].map((name) => this.state.instances[name]?.state.kind);
    assert.deepEqual(kinds, ["draining", "serving"]);
});

Then("confirming the wave again is refused", function(this: World) {
    isRefused(this, { kind: "confirmPlan", plan: this.wave });
});

Then("removing the empty pool is refused", function(this: World) {
    isRefused(this, { kind: "change", changes: [{ kind: "removePool", name: "empty" }] });
});

Then("adding an instance with the address of {string} is refused", function(this: World, name: string) {
    isRefused(this, { kind: "change", changes: [createAddition("worker-twin", `http://${name}`)] });
});
