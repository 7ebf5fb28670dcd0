import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Wave } from "../../policy";
import {
    chooseMoves,
    chooseUpkeep,
    createDemandMeter,
    type DemandMeter,
    hasSlack,
    type IdleMachine,
    type Machine,
    type MoveChoice,
    type PoolDemand,
    type UpkeepChoice,
} from "../index";

interface World {
    pools: PoolDemand[];
    idle: IdleMachine[];
    moves: readonly MoveChoice[];
    meter: DemandMeter;
    nowMs: number;
    choose: () => UpkeepChoice;
    upkeep: UpkeepChoice;
    wave?: Wave;
}

const nothing = {
    isStandby: false,
    waitingCpuMillis: 0,
    unplaceableCpuMillis: 0,
    offeredCpuMillis: 0,
    busyCpuMillis: 0,
    freeCpuMillis: 0,
    comingCpuMillis: 0,
    isKnown: true,
};

Before(function(this: World) {
    this.pools = [{ ...nothing, pool: "spare", isStandby: true }];
    this.idle = [];
    this.meter = createDemandMeter();
    this.nowMs = 0;
});

function addPool(world: World, pool: string, cores: Partial<Record<keyof PoolDemand, number>>): void {
    const millis = Object.fromEntries(Object.entries(cores).map(([name, count]) => [name, count * 1000]));
    world.pools.push({ ...nothing, ...millis, pool });
}

function addIdle(world: World, count: number, cores: number, pool: string): void {
    for (let at = 0; at < count; at++) {
        world.idle.push({ id: `machine-${world.idle.length}`, pool, cpuMillis: cores * 1000, idleMs: 5000 });
    }
    world.pools = world.pools.map((known) =>
        known.pool === pool && !known.isStandby
            ? { ...known, freeCpuMillis: known.freeCpuMillis + count * cores * 1000 }
            : known
    );
}

Given("pool {string} where {int} cores wait", function(this: World, pool: string, waiting: number) {
    addPool(this, pool, { waitingCpuMillis: waiting });
});

Given(
    "pool {string} where {int} cores wait and {int} are coming",
    function(this: World, pool: string, waiting: number, coming: number) {
        addPool(this, pool, { waitingCpuMillis: waiting, comingCpuMillis: coming });
    },
);

Given(
    "pool {string} where {int} cores of work arrive, {int} are busy and {int} are free",
    function(this: World, pool: string, offered: number, busy: number, free: number) {
        addPool(this, pool, { offeredCpuMillis: offered, busyCpuMillis: busy, freeCpuMillis: free });
    },
);

Given(
    "pool {string} where {int} cores wait without a place and {int} are free",
    function(this: World, pool: string, waiting: number, free: number) {
        addPool(this, pool, { waitingCpuMillis: waiting, unplaceableCpuMillis: waiting, freeCpuMillis: free });
    },
);

Given("a pool {string} that needs nothing", function(this: World, pool: string) {
    addPool(this, pool, {});
});

Given("a pool {string} of which nothing is known", function(this: World, pool: string) {
    this.pools.push({ ...nothing, pool, isKnown: false });
});

Given("{int} idle machine(s) of {int} cores in standby", function(this: World, count: number, cores: number) {
    addIdle(this, count, cores, "spare");
});

Given(
    "{int} idle machines of {int} cores in {string}",
    function(this: World, count: number, cores: number, pool: string) {
        addIdle(this, count, cores, pool);
    },
);

When("moves are chosen", function(this: World) {
    this.moves = chooseMoves({ pools: this.pools, idle: this.idle, impossible: new Set(), maxMoves: 10 });
});

Then("{int} machine(s) go(es) to {string}", function(this: World, count: number, pool: string) {
    assert.equal(this.moves.filter(({ to }) => to === pool).length, count, JSON.stringify(this.moves));
});

Then("no machine moves", function(this: World) {
    assert.deepEqual(this.moves, []);
});

Given("arrivals of {int} cores for {int} ms", function(this: World, cores: number, forMs: number) {
    for (; this.nowMs < forMs; this.nowMs += 50) {
        this.meter.note("stalls", cores * 50, this.nowMs);
    }
});

Given("{int} cores of work were read that came {int} ms ago", function(this: World, cores: number, ageMs: number) {
    this.meter.note("stalls", cores * 1000, this.nowMs, ageMs);
});

function offered(world: World): number {
    return world.meter.offeredCpuMillis("stalls", world.nowMs) / 1000;
}

Then("at least {int} cores are offered", function(this: World, cores: number) {
    assert.ok(offered(this) >= cores, String(offered(this)));
});

Then("{int} ms later at least {int} cores are offered", function(this: World, ms: number, cores: number) {
    this.nowMs += ms;
    assert.ok(offered(this) >= cores, String(offered(this)));
});

Then("{int} ms later at most {int} cores are offered", function(this: World, ms: number, cores: number) {
    this.nowMs += ms;
    assert.ok(offered(this) <= cores, String(offered(this)));
});

const names = ["a", "b", "c", "d"];

function machine(id: string): Machine {
    const capacity = { cpuMillis: 1000, memoryMb: 1000, accelerators: 0 };
    return { id, pool: "stalls", state: "up", zone: "zone-a", labels: [], capacity, workerId: id };
}

function choose(
    maxDown: number,
    runsOn: (id: string) => number | undefined,
    begun: readonly string[] = [],
    removed: readonly string[] = [],
    needed: readonly string[] = [],
    mayWait = false,
): UpkeepChoice {
    return chooseUpkeep({
        wave: { wave: 1, machines: names, completeByS: 20, maxDown },
        machines: new Map(names.filter((id) => !removed.includes(id)).map((id) => [id, machine(id)])),
        begun: new Set(begun),
        removed: new Set(removed),
        down: new Set(),
        runsOn: ({ id }) => runsOn(id),
        isNeeded: ({ id }) => needed.includes(id),
        mayWait,
    });
}

Given(
    "a wave over \"a\", \"b\", \"c\" and \"d\", {int} at once, with runs on \"a\" and \"b\"",
    function(this: World, maxDown: number) {
        this.choose = () => choose(maxDown, (id) => id < "c" ? 2 : 0);
    },
);

Given(
    "a wave over \"a\", \"b\", \"c\" and \"d\", {int} at once, with \"a\" and \"b\" unknown",
    function(this: World, maxDown: number) {
        this.choose = () => choose(maxDown, (id) => id < "c" ? undefined : 0);
    },
);

Given(
    "a wave over \"a\", \"b\", \"c\" and \"d\", {int} at once, with all begun but \"d\", which was removed",
    function(this: World, maxDown: number) {
        this.choose = () => choose(maxDown, () => 0, ["a", "b", "c"], ["d"]);
    },
);

Given(
    "a wave over \"a\", \"b\", \"c\" and \"d\", {int} at once, whose pool needs {string}, {word} time left",
    function(this: World, maxDown: number, needed: string, time: string) {
        this.choose = () => choose(maxDown, () => 0, [], [], needed.split(", "), time === "with");
    },
);

Given("a wave over 4 machines, 2 at once, complete by {int} s", function(this: World, completeByS: number) {
    this.wave = { wave: 1, machines: names, completeByS, maxDown: 2 };
});

Then(
    "after {int} s with {int} machine(s) begun it {word} wait",
    function(this: World, sinceS: number, begun: number, word: string) {
        const { wave } = this;
        assert.ok(wave);
        const mayWait = hasSlack({
            wave,
            begun: new Set(names.slice(0, begun)),
            sinceMs: sinceS * 1000,
            maintenanceMs: 2000,
        });
        assert.equal(mayWait, word === "may");
    },
);

When("its next machines are chosen", function(this: World) {
    this.upkeep = this.choose();
});

Then("{string} go down now", function(this: World, expected: string) {
    assert.equal(this.upkeep.now.join(", "), expected);
});

Then("the wave is complete", function(this: World) {
    assert.equal(this.upkeep.isComplete, true);
});
