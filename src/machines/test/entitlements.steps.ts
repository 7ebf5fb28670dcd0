import { Given, Then, When } from "@cucumber/cucumber";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { divideMaxMin } from "../../fairness";
import {
    chooseEntitlements,
    chooseMoves,
    chooseReclaims,
    createNeedLimits,
    type Entitlements,
    findShortage,
    type IdleMachine,
    minMissingShare,
    type MoveOptions,
    type NeedLimits,
    type PoolDemand,
    type ReclaimCandidate,
} from "../index";

interface World {
    shares: readonly number[];
    demands: PoolDemand[];
    entitlements: Entitlements;
    entitled: Map<string, number>;
    candidates: ReclaimCandidate[];
    reclaimed: readonly string[];
    limits: NeedLimits;
    limited: ReadonlyMap<string, number>;
    nowMs: number;
}

const joinMs = 1750;
const cpuMillis = 16_000;

const plainDemand: PoolDemand = {
    pool: "stalls",
    isStandby: false,
    waitingCpuMillis: 0,
    unplaceableCpuMillis: 0,
    neededCpuMillis: 0,
    conformingNeedCpuMillis: 0,
    usedCpuMillis: 0,
    startableCpuMillis: 0,
    machineCpuMillis: cpuMillis,
    capacityCpuMillis: 0,
    comingCpuMillis: 0,
    reserveCpuMillis: 0,
    machineCount: 0,
};

const parse = (list: string) => list.split(", ").map(Number);

When("{int} is divided among needs of {string}", function(this: World, total: number, needs: string) {
    const shares = divideMaxMin(total, new Map(parse(needs).map((need, at) => [String(at), need])));
    this.shares = [...shares.values()];
});

Then("the shares are {string}", function(this: World, shares: string) {
    assert.deepEqual(this.shares, parse(shares));
});

Given(
    "{string} needs {int} cores, of which {int} are conforming",
    function(this: World, pool: string, needed: number, conforming: number) {
        this.demands ??= [];
        this.demands.push({
            ...plainDemand,
            pool,
            neededCpuMillis: needed * 1000,
            conformingNeedCpuMillis: conforming * 1000,
        });
    },
);

When("{int} cores are divided", function(this: World, cores: number) {
    const options = { pools: this.demands, totalCpuMillis: cores * 1000, limitsCpuMillis: new Map() };
    this.entitlements = chooseEntitlements(options);
});

Then("the entitlements of {string} are {string}", function(this: World, pools: string, cores: string) {
    const entitled = pools.split(", ").map((pool) => Math.round((this.entitlements?.get(pool) ?? 0) / 1000));
    assert.deepEqual(entitled, parse(cores));
});

Then("the pools don't compete", function(this: World) {
    assert.equal(this.entitlements, undefined);
});

/** The choice of moves to pools as it was before pools had entitlements. */
function choosePoolMovesBefore(opts: MoveOptions): readonly string[] {
    const pools = new Map(opts.pools.map((pool) => [pool.pool, pool]));
    const shortage = new Map(
        opts.pools.filter(({ isStandby }) => !isStandby).map((pool) => [pool.pool, findShortage(pool)]),
    );
    const rank = ({ pool }: IdleMachine) => pool === "spare" ? 0 : 1;
    const idle = [...opts.idle].sort((a, b) => rank(a) - rank(b) || b.idleMs - a.idleMs);
    const choices: string[] = [];
    while (choices.length < opts.maxMoves) {
        const [to, short] = [...shortage].reduce((largest, pool) => pool[1] > largest[1] ? pool : largest, ["", 0]);
        const isUnplaceable = (pools.get(to)?.unplaceableCpuMillis ?? 0) > 0;
        const index = idle.findIndex((machine) =>
            machine.pool !== to && !machine.isEvacuated && !opts.impossibleMoves.has(`${machine.id} ${to}`)
            && (isUnplaceable ? short > 0 : short >= minMissingShare * machine.cpuMillis)
            && (machine.pool === "spare" || (shortage.get(machine.pool) ?? 0) + machine.cpuMillis <= 0)
        );
        const [machine] = index < 0 ? [] : idle.splice(index, 1);
        if (machine === undefined) {
            break;
        }
        shortage.set(to, short - machine.cpuMillis);
        if (machine.pool !== "spare") {
            shortage.set(machine.pool, (shortage.get(machine.pool) ?? 0) + machine.cpuMillis);
        }
        choices.push(`${machine.id} ${machine.pool} ${to}`);
    }
    return choices;
}

const names = ["stalls", "offices", "vets", "gates"];
const cores = fc.integer({ min: 0, max: 200 }).map((count) => count * 1000);
const anyDemand = fc.record({
    neededCpuMillis: cores,
    capacityCpuMillis: cores,
    comingCpuMillis: fc.constantFrom(0, 0, 16_000),
    unplaceableCpuMillis: fc.constantFrom(0, 0, 0, 3000),
});
const anyMachine = fc.record({
    pool: fc.constantFrom(...names, "spare"),
    cpuMillis: fc.constantFrom(16_000, 32_000),
    idleMs: fc.integer({ min: 0, max: 3000 }),
    isEvacuated: fc.boolean(),
    isReclaimed: fc.constant(false),
});

Then("moves of {int} random fleets without competition are as before", function(this: World, numRuns: number) {
    const fleets = fc.tuple(fc.array(anyDemand, { minLength: 4, maxLength: 4 }), fc.array(anyMachine), fc.boolean());
    let compared = 0;
    fc.assert(
        fc.property(fleets, ([demands, machines, isBarred]) => {
            const pools = demands.map((demand, at) => ({ ...plainDemand, ...demand, pool: names[at] ?? "" }));
            const idle = machines.map((machine, at) => ({ ...machine, id: `machine-${at}` }));
            const impossibleMoves = new Set(isBarred ? ["machine-0 stalls"] : []);
            const standby = { ...plainDemand, pool: "spare", isStandby: true };
            const totalCpuMillis = pools.reduce((sum, pool) => sum + pool.capacityCpuMillis + pool.comingCpuMillis, 0)
                + idle.reduce((sum, machine) => sum + (machine.pool === "spare" ? machine.cpuMillis : 0), 0);
            const all = [...pools, standby];
            const entitlements = chooseEntitlements({ pools: all, totalCpuMillis, limitsCpuMillis: new Map() });
            if (entitlements === undefined) {
                compared++;
                const options = { pools: all, idle, impossibleMoves, maxMoves: 8 };
                const moves = chooseMoves({ ...options, entitlements }).filter(({ to }) => to !== "spare");
                assert.deepEqual(
                    moves.map(({ machine, from, to }) => `${machine} ${from} ${to}`),
                    choosePoolMovesBefore(options),
                );
            }
        }),
        { numRuns },
    );
    assert.ok(compared > numRuns / 10, `${compared} fleets had enough machines`);
});

Given(
    "{string} is entitled to {float} machines and has {int}, of which {int} are reclaimed already",
    function(this: World, pool: string, entitled: number, count: number, held: number) {
        this.entitled = new Map([[pool, entitled * cpuMillis]]);
        this.demands = [{
            ...plainDemand,
            pool,
            capacityCpuMillis: (count - held) * cpuMillis,
            machineCount: count - held,
        }];
        this.candidates = Array.from({ length: count }, (_, at) => ({
            id: String(at + 1),
            pool,
            cpuMillis,
            emptyInMs: 500,
            stayedMs: 60_000,
            hasLongRunning: false,
            isReclaimed: at < held,
        }));
    },
);

Given(
    "{string} is entitled to {float} machines and has {int}",
    function(this: World, pool: string, entitled: number, count: number) {
        this.entitled.set(pool, entitled * cpuMillis);
        this.demands.push({ ...plainDemand, pool, capacityCpuMillis: count * cpuMillis, machineCount: count });
    },
);

Given(
    "machine 1 has long-running tasks, machine 2 has just joined, and machines 7 and 9 are empty first",
    function(this: World) {
        this.candidates = this.candidates.map((machine) => ({
            ...machine,
            hasLongRunning: machine.id === "1",
            stayedMs: machine.id === "2" ? joinMs : machine.stayedMs,
            emptyInMs: ["1", "2"].includes(machine.id) ? 0 : ["7", "9"].includes(machine.id) ? 100 : 500,
        }));
    },
);

When("reclaims are chosen", function(this: World) {
    this.reclaimed = chooseReclaims({
        pools: this.demands,
        entitlements: this.entitled,
        candidates: this.candidates,
        impossibleMoves: new Set(),
        minStayMs: 2 * joinMs,
    });
});

Then("{int} machine(s) is/are reclaimed", function(this: World, count: number) {
    assert.equal(this.reclaimed.length, count);
});

Then("machines {string} are reclaimed", function(this: World, ids: string) {
    assert.equal(this.reclaimed.join(", "), ids);
});

Given("a pool of machines of 16 cores that uses {int} cores", function(this: World, used: number) {
    this.limits = createNeedLimits(joinMs);
    this.nowMs = 0;
    this.demands = [{ ...plainDemand, neededCpuMillis: 900_000, usedCpuMillis: used * 1000 }];
});

When("it has {int} idle cores for waiting tasks for {int} ms", function(this: World, idle: number, ms: number) {
    for (const untilMs = this.nowMs + ms; this.nowMs < untilMs; this.nowMs += 150) {
        const pools = this.demands.map((demand) => ({ ...demand, startableCpuMillis: idle * 1000 }));
        this.limited = this.limits.update(pools, this.nowMs);
    }
});

Then("its need is limited to {int} cores", function(this: World, limit: number) {
    assert.equal(this.limited.get("stalls"), limit * 1000);
});

Then("its need has no limit", function(this: World) {
    assert.equal(this.limited.size, 0);
});
