import { After, Before, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, createDispatchWorld, type DispatchWorld, installClock } from "../../../standins/dispatch";
import { createRandom } from "../../../standins/random";
import type { TaskEnd, TaskRequest } from "../../tasks";

interface Sent {
    readonly payload: string;
    readonly sentAtMs: number;
    readonly repeatable: boolean;
    readonly urgent: boolean;
    end?: TaskEnd;
}

interface World {
    clock: Clock;
    world: DispatchWorld;
    sent: Sent[];
    /** Slots in use by team, sampled every 10 ms. */
    samples: { readonly atMs: number; readonly byTeam: ReadonlyMap<string, number>; }[];
    meanwhile: (() => void)[];
}

interface Supply {
    readonly team: number;
    readonly count: number;
    readonly runMs: number;
    readonly entries?: readonly number[];
    readonly task?: Partial<TaskRequest>;
}

const sampleIntervalMs = 10;
const slots = 8;

setDefaultTimeout(60_000);

Before(function(this: World) {
    this.clock = installClock();
    this.sent = [];
    this.samples = [];
    this.meanwhile = [];
});

After(function(this: World) {
    this.clock.uninstall();
});

function send(world: World, entryAt: number, team: number, runMs: number, task: Partial<TaskRequest> = {}): void {
    const payload = `run ${runMs} #${world.sent.length}`;
    const { repeatable = true, urgent = false } = task;
    const sent: Sent = { payload, sentAtMs: Date.now(), repeatable, urgent };
    world.sent.push(sent);
    const request = { team: `team-${team}`, payload, expectedRunMs: runMs, deadlineAtMs: Date.now() + 30_000, ...task };
    void world.world.entries[entryAt]!.run(request).then((end) => {
        sent.end = end;
    });
}

function refillQueue(world: World, { team, count, runMs, entries, task }: Supply): void {
    for (const at of entries ?? world.world.entries.keys()) {
        for (let waiting = world.world.entries[at]!.waitingOf("stalls", `team-${team}`); waiting < count; waiting++) {
            send(world, at, team, runMs, task);
        }
    }
}

async function keepWaiting(world: World, supplies: readonly Supply[], forMs: number): Promise<void> {
    for (let at = 0; at < forMs; at += sampleIntervalMs) {
        supplies.forEach((supply) => refillQueue(world, supply));
        world.meanwhile.forEach((run) => run());
        await world.clock.advance(sampleIntervalMs);
        world.samples.push({ atMs: Date.now(), byTeam: countRunning(world) });
    }
}

function countRunning(world: World): ReadonlyMap<string, number> {
    const byTeam = new Map<string, number>();
    for (const { running } of world.world.workers.workers.values()) {
        running.forEach(({ order: { team } }) => byTeam.set(team, (byTeam.get(team) ?? 0) + 1));
    }
    return byTeam;
}

function meanSlotsInUse(world: World, team: number, lastMs: number): number {
    const recent = world.samples.filter(({ atMs }) => atMs > Date.now() - lastMs);
    return recent.reduce((sum, { byTeam }) => sum + (byTeam.get(`team-${team}`) ?? 0), 0) / recent.length;
}

function totalSlots(world: World): number {
    return world.world.workers.workers.size * slots;
}

function startDelays(world: World, chosen: readonly Sent[]): readonly number[] {
    const starts = new Map<string, number>();
    for (const { order: { payload }, atMs } of world.world.workers.starts) {
        starts.set(payload, Math.min(atMs, starts.get(payload) ?? Infinity));
    }
    return chosen.map(({ payload, sentAtMs }) => (starts.get(payload) ?? Infinity) - sentAtMs);
}

Given(
    "{int} entries, {int} workers and teams with weights {int} and {int}",
    async function(this: World, entries: number, workers: number, first: number, second: number) {
        const random = createRandom(11);
        this.world = createDispatchWorld({
            entryZones: Array.from({ length: entries }, () => "zone-a"),
            pools: { stalls: { "zone-a": workers } },
            slots,
            teams: [
                { name: "team-1", weight: first, limit: 10_000 },
                { name: "team-2", weight: second, limit: 10_000 },
            ],
            random: () => random.int(0, 999_999) / 1_000_000,
            bounds: { tasksPerTeam: 1000, tasks: 4000 },
        });
        await this.clock.advance(600);
    },
);

When(
    "both teams keep {int} tasks of {int} ms waiting at each entry for {int} ms",
    async function(this: World, count: number, runMs: number, forMs: number) {
        await keepWaiting(this, [{ team: 1, count, runMs }, { team: 2, count, runMs }], forMs);
    },
);

When(
    "both teams keep {int} tasks of {int} ms waiting at each entry for {int} ms, all of team 1 urgent",
    async function(this: World, count: number, runMs: number, forMs: number) {
        const urgent = { team: 1, count, runMs, task: { urgent: true } };
        await keepWaiting(this, [urgent, { team: 2, count, runMs }], forMs);
    },
);

When(
    "both teams keep {int} tasks of {int} ms waiting at each entry for {int} ms, team 1's of {int} processors",
    async function(this: World, count: number, runMs: number, forMs: number, processors: number) {
        const size = { processors, memoryMb: 1000, accelerators: 0 };
        await keepWaiting(this, [{ team: 1, count, runMs, task: { size } }, { team: 2, count, runMs }], forMs);
    },
);

When(
    "team {int} keeps {int} tasks of {int} ms waiting at each entry for {int} ms",
    async function(this: World, team: number, count: number, runMs: number, forMs: number) {
        await keepWaitingIntoNextStep(this, { team, count, runMs }, forMs);
    },
);

When(
    "team {int} keeps {int} tasks of {int} ms waiting at entry {int} alone for {int} ms",
    async function(this: World, team: number, count: number, runMs: number, entry: number, forMs: number) {
        await keepWaiting(this, [{ team, count, runMs, entries: [entry - 1] }], forMs);
    },
);

When(
    "both teams keep {int} tasks of {int} ms waiting at entry {int} alone for {int} ms",
    async function(this: World, count: number, runMs: number, entry: number, forMs: number) {
        const entries = [entry - 1];
        await keepWaiting(this, [{ team: 1, count, runMs, entries }, { team: 2, count, runMs, entries }], forMs);
    },
);

/** Waits only half of `forMs`, because the scenario's next step ("meanwhile ...") goes on with this supply. */
async function keepWaitingIntoNextStep(world: World, supply: Supply, forMs: number): Promise<void> {
    await keepWaiting(world, [supply], forMs / 2);
    world.meanwhile.push(() => refillQueue(world, supply));
}

When(
    "meanwhile team {int} sends one task of {int} ms every {int} ms",
    async function(this: World, team: number, runMs: number, everyMs: number) {
        let at = 0;
        this.meanwhile.push(() => {
            if (at % everyMs === 0) {
                send(this, (at / everyMs) % this.world.entries.length, team, runMs, {
                    deadlineAtMs: Date.now() + 29_000,
                });
            }
            at += sampleIntervalMs;
        });
        await keepWaiting(this, [], 2000);
    },
);

When(
    "meanwhile team {int} keeps {int} tasks of {int} ms waiting at entry {int} alone",
    async function(this: World, team: number, count: number, runMs: number, entry: number) {
        await keepWaiting(this, [{ team, count, runMs, entries: [entry - 1] }], 3000);
    },
);

When(
    "team {int} fills the pool with non-repeatable tasks of {int} ms",
    async function(this: World, team: number, runMs: number) {
        for (let at = 0; at < totalSlots(this); at++) {
            send(this, at % this.world.entries.length, team, runMs, { repeatable: false });
        }
        await keepWaiting(this, [], 200);
    },
);

When("team {int} sends an urgent task to each entry", function(this: World, team: number) {
    this.world.entries.forEach((_entry, at) => send(this, at, team, 100, { urgent: true }));
});

When("the link between the entries is lost", function(this: World) {
    const [one, two] = this.world.entries;
    this.world.network.cuts.add(`${one!.boot}>${two!.boot}`).add(`${two!.boot}>${one!.boot}`);
});

Then(
    "over the last second team {int} has between {int}% and {int}% of the slots",
    function(this: World, team: number, least: number, most: number) {
        const percent = meanSlotsInUse(this, team, 1000) / totalSlots(this) * 100;
        assert.ok(percent >= least && percent <= most, `${percent.toFixed(1)}%`);
    },
);

Then(
    "team {int} has between {int}% and {int}% of the slots",
    function(this: World, team: number, least: number, most: number) {
        const percent = (countRunning(this).get(`team-${team}`) ?? 0) / totalSlots(this) * 100;
        assert.ok(percent >= least && percent <= most, `${percent.toFixed(1)}%`);
    },
);

Then("at least {int}% of the slots are in use", function(this: World, least: number) {
    const inUse = (meanSlotsInUse(this, 1, 1000) + meanSlotsInUse(this, 2, 1000)) / totalSlots(this) * 100;
    assert.ok(inUse >= least, `${inUse.toFixed(1)}%`);
});

Then("every task of team {int} started within {int} ms", function(this: World, team: number, withinMs: number) {
    const ofTeam = new Set(
        this.world.workers.starts.filter(({ order }) => order.team === `team-${team}`).map(({ order }) =>
            order.payload
        ),
    );
    const started = this.sent.filter(({ payload }) => ofTeam.has(payload));
    const latestMs = Math.max(...startDelays(this, started));
    assert.ok(
        started.length > 30 && latestMs <= withinMs,
        `${started.length} started, the latest after ${latestMs} ms`,
    );
});

Then("every non-repeatable task is answered", async function(this: World) {
    await this.clock.advance(6000);
    const others = this.sent.filter(({ repeatable, end }) => !repeatable && end?.kind !== "answered");
    assert.equal(others.length, 0);
});

Then("all urgent tasks started within {int} ms", async function(this: World, withinMs: number) {
    this.meanwhile = [];
    await this.clock.advance(withinMs);
    const delays = startDelays(this, this.sent.filter(({ urgent }) => urgent));
    assert.ok(Math.max(...delays) <= withinMs, delays.join());
});

Then("team 1 and team 2 have the same through entry 1 within {int} tasks", function(this: World, within: number) {
    const { boot } = this.world.entries[0]!;
    const count = (team: string) =>
        [...this.world.workers.workers.values()].flatMap(({ running }) => [...running.values()])
            .filter(({ order }) => order.holder === boot && order.team === team).length;
    const [one, two] = [count("team-1"), count("team-2")];
    assert.ok(Math.abs(one - two) <= within, `${one} and ${two}`);
});
