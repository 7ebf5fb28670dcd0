import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { LogEvent } from "../../src/logging";
import type { SchedulingEntry } from "../../standins/scheduling";
import { pass, stepMs, type World as SchedulingState } from "./world";

interface World extends SchedulingState {
    /** Rates by account, per second. */
    rates: ReadonlyMap<string, number>;
    sent: { readonly id: string; readonly account: string; readonly atMs: number; }[];
    leaders: SchedulingEntry[];
    beganAtMs: number;
}

/** Declared and actual run time of a task of 1 core, in milliseconds. */
const taskMs = 500;
const heavyFactor = 9;
const lightRate = 1;

Given(
    "{int} accounts with a rate of 1 and {int} accounts with a rate of {int} a second",
    function(this: World, light: number, heavy: number, heavyRate: number) {
        const names = (prefix: string, count: number) => Array.from({ length: count }, (_, at) => `${prefix}-${at}`);
        this.rates = new Map([
            ...names("light", light).map((name) => [name, lightRate] as const),
            ...names("heavy", heavy).map((name) => [name, heavyRate] as const),
        ]);
        const cap = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
        const tenants = [...this.rates].map(([name, weight]) => ({ name, keys: [], weight, cap }));
        this.world.policy = { ...this.world.policy, version: 2, tenants };
        this.world.owner()?.scheduler()?.policyChanged();
        this.sent = [];
        this.leaders = [];
    },
);

When(
    "the 2 accounts send at nine times their rate and the others at theirs for {int} ms",
    async function(this: World, ms: number) {
        this.beganAtMs = performance.now();
        const nextAtMs = new Map([...this.rates.keys()].map((account, at) => [account, at * 50]));
        for (let atMs = 0; atMs < ms; atMs += stepMs) {
            const owner = this.world.owner();
            if (owner !== undefined && !this.leaders.includes(owner)) {
                this.leaders.push(owner);
            }
            for (const [account, rate] of this.rates) {
                const intervalMs = 1000 / (rate === lightRate ? rate : rate * heavyFactor);
                while ((nextAtMs.get(account) ?? 0) <= atMs) {
                    nextAtMs.set(account, (nextAtMs.get(account) ?? 0) + intervalMs);
                    submit(this, account);
                }
            }
            await pass(this, stepMs);
        }
    },
);

function submit(world: World, account: string): void {
    const id = (world.sent.length + 1).toString(16).padStart(16, "0");
    world.sent.push({ id, account, atMs: performance.now() });
    world.world.submit(id, [{ estimateMs: taskMs }], { tenant: account });
}

When("the leader is killed", function(this: World) {
    this.world.owner()?.kill();
});

type Classified = Extract<LogEvent, { readonly kind: "submission"; }>;

function classesOf({ log }: SchedulingEntry): ReadonlyMap<string, Classified["class"]> {
    const taken = log.filter((event): event is Classified => event.kind === "submission" && event.change === "taken");
    return new Map(taken.map((event) => [event.submission, event.class]));
}

function findLateStarts(world: World, fromMs: number, withinMs: number): readonly string[] {
    const startedAtMs = new Map<string, number>();
    for (const { kind, task, atMs } of world.world.workers.events) {
        const id = task.split(".")[0] ?? "";
        if (kind === "started" && !startedAtMs.has(id)) {
            startedAtMs.set(id, atMs);
        }
    }
    // Submissions of the last moment may still be waiting.
    const untilMs = performance.now() - withinMs;
    return world.sent
        .filter(({ account, atMs }) => world.rates.get(account) === lightRate && atMs >= fromMs && atMs <= untilMs)
        .filter(({ id, atMs }) => (startedAtMs.get(id) ?? Number.POSITIVE_INFINITY) - atMs > withinMs)
        .map(({ id, atMs }) => `${id} after ${(startedAtMs.get(id) ?? Number.POSITIVE_INFINITY) - atMs} ms`);
}

Then("each submission within the rate has started within {int} ms", function(this: World, ms: number) {
    assert.deepEqual(findLateStarts(this, 0, ms), []);
});

Then(
    "each submission within the rate that came after the new leader began has started within {int} ms",
    function(this: World, ms: number) {
        const gainedAtMs = this.beganAtMs + 4000;
        assert.deepEqual(findLateStarts(this, gainedAtMs, ms), []);
    },
);

Then(
    "at least {int} cores were in use on average from {int} ms to {int} ms",
    function(this: World, cores: number, fromMs: number, untilMs: number) {
        const [from, until] = [this.beganAtMs + fromMs, this.beganAtMs + untilMs];
        const starts = this.world.workers.events.filter(({ kind }) => kind === "started");
        const usedMs = starts.reduce(
            (sum, { atMs }) => sum + Math.max(0, Math.min(atMs + taskMs, until) - Math.max(atMs, from)),
            0,
        );
        const used = usedMs / (until - from);
        assert.ok(used >= cores, `${used} cores`);
    },
);

Then("both leaders classified alike, except for at most {int} submission(s)", function(this: World, most: number) {
    const [first, second] = this.leaders.map(classesOf);
    assert.ok(first !== undefined && second !== undefined);
    const both = [...first].filter(([id]) => second.has(id));
    const different = both.filter(([id, name]) => second.get(id) !== name);
    assert.ok(both.length > 50, `${both.length} submissions were open at the change`);
    assert.ok(different.length <= most, `${different.length} of ${both.length} differ`);
});

Given("reading all workers takes {int} ms", function(this: World, ms: number) {
    this.world.store.slowDownRange("workers/", ms);
});

Then("the next owner measures no load before it has read all workers", async function(this: World) {
    const areWorkersRead = () => this.world.owner()?.log.some(({ kind }) => kind === "stateLoaded") === true;
    for (let waitedMs = 0; !areWorkersRead(); waitedMs += stepMs) {
        assert.ok(waitedMs < 10_000);
        assert.equal(this.world.owner()?.scheduler()?.measureLoad(), undefined);
        await pass(this, stepMs);
    }
});
