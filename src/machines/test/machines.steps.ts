import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Wave } from "../../policy";
import {
    canDeferMaintenance,
    chooseMaintenance,
    chooseMoves,
    createDemandMeter,
    type DemandMeter,
    forecastNeedCpuMillis,
    type IdleMachine,
    type Machine,
    type MaintenanceChoice,
    type MoveChoice,
    type NeedInput,
    type PoolDemand,
} from "../index";

interface World {
    pools: PoolDemand[];
    idle: IdleMachine[];
    moves: readonly MoveChoice[];
    meter: DemandMeter;
    nowMs: number;
    arrivalsPerSecond: number;
    need: Omit<NeedInput, "joinMs">;
    neededCpuMillis: number;
    choose: () => MaintenanceChoice;
    maintenance: MaintenanceChoice;
    wave?: Wave;
}

/** Time that a machine needs to join a pool, in milliseconds. */
const joinMs = 2000;

const noDemand = {
    isStandby: false,
    waitingCpuMillis: 0,
    unplaceableCpuMillis: 0,
    neededCpuMillis: 0,
    conformingNeedCpuMillis: 0,
    usedCpuMillis: 0,
    startableCpuMillis: 0,
    machineCpuMillis: 0,
    capacityCpuMillis: 0,
    comingCpuMillis: 0,
    reserveCpuMillis: 0,
};

Before(function(this: World) {
    this.pools = [{ ...noDemand, pool: "spare", isStandby: true, machineCount: 0 }];
    this.idle = [];
    this.meter = createDemandMeter(joinMs);
    this.nowMs = 0;
});

function addPool(world: World, pool: string, cores: Partial<Record<keyof PoolDemand, number>>): void {
    const millis = Object.fromEntries(Object.entries(cores).map(([name, count]) => [name, count * 1000]));
    world.pools.push({ ...noDemand, machineCount: 0, ...millis, pool });
}

function addIdle(world: World, count: number, cores: number, pool: string): void {
    for (let index = 0; index < count; index++) {
        world.idle.push({
            id: `machine-${world.idle.length}`,
            pool,
            cpuMillis: cores * 1000,
            idleMs: 5000,
            isEvacuated: false,
            isReclaimed: false,
        });
    }
    world.pools = world.pools.map((known) =>
        known.pool === pool && !known.isStandby
            ? {
                ...known,
                capacityCpuMillis: known.capacityCpuMillis + count * cores * 1000,
                machineCount: known.machineCount + count,
            }
            : known
    );
}

Given(
    "pool {string} that needs {int} cores and has {int}",
    function(this: World, pool: string, needed: number, capacity: number) {
        addPool(this, pool, { neededCpuMillis: needed, capacityCpuMillis: capacity });
    },
);

Given(
    "pool {string} that needs {int} cores and has {int}, with {int} coming",
    function(this: World, pool: string, needed: number, capacity: number, coming: number) {
        addPool(this, pool, { neededCpuMillis: needed, capacityCpuMillis: capacity, comingCpuMillis: coming });
    },
);

Given(
    "a pool {string} with a reserve of {int} cores for the next submissions",
    function(this: World, pool: string, cores: number) {
        addPool(this, pool, { reserveCpuMillis: cores });
    },
);

Given(
    "pool {string} where tasks of {int} cores fit on no worker and {int} cores are free",
    function(this: World, pool: string, waiting: number, free: number) {
        addPool(this, pool, { waitingCpuMillis: waiting, unplaceableCpuMillis: waiting, capacityCpuMillis: free });
    },
);

Given("a pool {string} that needs nothing", function(this: World, pool: string) {
    addPool(this, pool, {});
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

Given("the machines of {string} are under evacuation", function(this: World, pool: string) {
    this.idle = this.idle.map((machine) => machine.pool === pool ? { ...machine, isEvacuated: true } : machine);
    this.pools = this.pools.map((known) =>
        known.pool === pool && !known.isStandby ? { ...known, capacityCpuMillis: 0, machineCount: 0 } : known
    );
});

When("moves are chosen", function(this: World) {
    this.moves = chooseMoves({ pools: this.pools, idle: this.idle, impossibleMoves: new Set(), maxMoves: 20 });
});

Then("{int} machine(s) go(es) to {string}", function(this: World, count: number, pool: string) {
    assert.equal(this.moves.filter(({ to }) => to === pool).length, count, JSON.stringify(this.moves));
});

Then("no machine moves", function(this: World) {
    assert.deepEqual(this.moves, []);
});

const submissionCpuMillis = 5000;

/** Records submissions at even intervals for a time, and moves the time on. */
function recordArrivals(world: World, arrivalsPerSecond: number, forMs: number): void {
    const untilMs = world.nowMs + forMs;
    for (let atMs = world.nowMs; atMs < untilMs; atMs += 1000 / arrivalsPerSecond) {
        world.meter.recordArrival("stalls", { cpuMillis: submissionCpuMillis, minDurationMs: joinMs }, atMs);
    }
    world.nowMs = untilMs;
}

function arrivingCores(world: World): number {
    return world.meter.forecastArrivingCpuMillis("stalls", world.nowMs) / 1000;
}

Given(
    "submissions of 5 cores arrive {int} a second for {int} ms, and then {int} a second",
    function(this: World, before: number, forMs: number, after: number) {
        recordArrivals(this, before, forMs);
        this.arrivalsPerSecond = after;
    },
);

When("{int} ms have passed", function(this: World, ms: number) {
    recordArrivals(this, this.arrivalsPerSecond, ms);
});

Then(
    "between {int} and {int} cores are expected to arrive in 2000 ms",
    function(this: World, least: number, most: number) {
        const cores = arrivingCores(this);
        assert.ok(cores >= least && cores <= most, String(cores));
    },
);

Given(
    "{int} submissions of 5 cores are read that arrived {int} ms ago",
    function(this: World, count: number, ageMs: number) {
        for (let index = 0; index < count; index++) {
            this.meter.recordArrival(
                "stalls",
                { cpuMillis: submissionCpuMillis, minDurationMs: joinMs },
                this.nowMs,
                ageMs,
            );
        }
    },
);

Then("at most {int} cores are expected to arrive", function(this: World, most: number) {
    assert.ok(arrivingCores(this) <= most, String(arrivingCores(this)));
});

Given(
    "{int} cores of open work of {int} ms, {int} cores that arrive, and a capacity of {int}",
    function(this: World, open: number, ms: number, arriving: number, capacity: number) {
        this.need = {
            openCpuMillis: open * 1000,
            openCoreMs: open * ms,
            arrivingCpuMillis: arriving * 1000,
            capacityCpuMillis: capacity * 1000,
            comingCpuMillis: 0,
        };
    },
);

When("a machine joins after {int} ms", function(this: World, afterMs: number) {
    this.neededCpuMillis = forecastNeedCpuMillis({ ...this.need, joinMs: afterMs });
});

Then("{int} cores are needed", function(this: World, cores: number) {
    assert.equal(Math.round(this.neededCpuMillis / 1000), cores);
});

const machineIds = ["a", "b", "c", "d"];

function machine(id: string): Machine {
    const capacity = { cpuMillis: 1000, memoryMb: 1000, accelerators: 0 };
    return { id, pool: "stalls", state: "up", zone: "zone-a", labels: [], capacity, workerId: id };
}

function chooseFromWave(
    maxDown: number,
    runsOn: (id: string) => number | undefined,
    begun: readonly string[] = [],
    removed: readonly string[] = [],
    needed: readonly string[] = [],
    mayWait = false,
    emptying: readonly string[] = [],
    unusable: readonly string[] = [],
): MaintenanceChoice {
    return chooseMaintenance({
        wave: { wave: 1, machines: machineIds, completeByS: 20, maxDown },
        machines: new Map(machineIds.filter((id) => !removed.includes(id)).map((id) => [id, machine(id)])),
        begun: new Set(begun),
        removed: new Set(removed),
        down: new Set(),
        runsOn: ({ id }) => runsOn(id),
        isNeeded: ({ id }) => needed.includes(id),
        mayWait,
        isEmptying: (id) => emptying.includes(id),
        isUnusable: ({ id }) => unusable.includes(id),
    });
}

Given(
    "a wave over \"a\", \"b\", \"c\" and \"d\", {int} at once, with runs on \"a\" and \"b\"",
    function(this: World, maxDown: number) {
        this.choose = () => chooseFromWave(maxDown, (id) => id < "c" ? 2 : 0);
    },
);

Given(
    "a wave over \"a\", \"b\", \"c\" and \"d\", {int} at once, with \"a\" and \"b\" unknown",
    function(this: World, maxDown: number) {
        this.choose = () => chooseFromWave(maxDown, (id) => id < "c" ? undefined : 0);
    },
);

Given(
    "a wave over \"a\", \"b\", \"c\" and \"d\", {int} at once, with all begun but \"d\", which was removed",
    function(this: World, maxDown: number) {
        this.choose = () => chooseFromWave(maxDown, () => 0, ["a", "b", "c"], ["d"]);
    },
);

Given(
    "a wave over \"a\", \"b\", \"c\" and \"d\", {int} at once, whose pool needs {string}, {word} time left",
    function(this: World, maxDown: number, needed: string, time: string) {
        this.choose = () => chooseFromWave(maxDown, () => 0, [], [], needed.split(", "), time === "with");
    },
);

Given(
    "a wave over \"a\", \"b\", \"c\" and \"d\", {int} at once, whose pool needs {string}, with time left, and {string} being emptied",
    function(this: World, maxDown: number, needed: string, emptying: string) {
        this.choose = () => chooseFromWave(maxDown, () => 2, [], [], needed.split(", "), true, emptying.split(", "));
    },
);

Given(
    "a wave over \"a\", \"b\", \"c\" and \"d\", {int} at once, with {string} under evacuation",
    function(this: World, maxDown: number, unusable: string) {
        this.choose = () => chooseFromWave(maxDown, () => 0, [], [], [], true, [], unusable.split(", "));
    },
);

Given("a wave over 4 machines, 2 at once, complete by {int} s", function(this: World, completeByS: number) {
    this.wave = { wave: 1, machines: machineIds, completeByS, maxDown: 2 };
});

function mayWait({ wave }: World, sinceS: number, begun: number, emptyingMs: number): boolean {
    assert.ok(wave);
    const begunIds = new Set(machineIds.slice(0, begun));
    return canDeferMaintenance({ wave, begun: begunIds, sinceMs: sinceS * 1000, maintenanceMs: 2000, emptyingMs });
}

Then(
    "after {int} s with {int} machine(s) begun it {word} wait",
    function(this: World, sinceS: number, begun: number, word: string) {
        assert.equal(mayWait(this, sinceS, begun, 0), word === "may");
    },
);

Then(
    "after {int} s with {int} machine(s) begun one that is emptied in {int} ms {word} wait",
    function(this: World, sinceS: number, begun: number, emptyingMs: number, word: string) {
        assert.equal(mayWait(this, sinceS, begun, emptyingMs), word === "may");
    },
);

When("its next machines are chosen", function(this: World) {
    this.maintenance = this.choose();
});

Then("{string} is emptied", function(this: World, expected: string) {
    assert.equal(this.maintenance.emptyNext.join(", "), expected);
});

Then("{string} go down now", function(this: World, expected: string) {
    assert.equal(this.maintenance.startNow.join(", "), expected);
});

Then("the wave is complete", function(this: World) {
    assert.equal(this.maintenance.isComplete, true);
});
