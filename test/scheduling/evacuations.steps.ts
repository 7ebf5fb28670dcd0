import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { addStandby, listMachines } from "./machines.steps";
import { pass, workerName, type World } from "./world";

interface EvacuationWorld extends World {
    /** Number of events at the workers when an evacuation was last asked for. */
    eventsBefore: number;
}

function addWorkers(world: World, count: number, zone: string): void {
    for (let at = 0; at < count; at++) {
        world.workers++;
        world.world.zones.set(workerName(world.workers), zone);
        world.world.addWorker(workerName(world.workers));
    }
}

/** The zone of a worker or, after its machine has been away, of the worker before it. */
function zoneOf({ world }: World, worker: string): string | undefined {
    return world.zones.get(worker.replace(/\++$/, ""));
}

Given(
    "{int} entry/entries with {int} worker(s) in {string} and {int} in {string}",
    async function(this: World, entries: number, first: number, firstZone: string, second: number, secondZone: string) {
        this.entries = entries;
        this.workers = 0;
        addWorkers(this, first, firstZone);
        addWorkers(this, second, secondZone);
        for (let number = 1; number <= entries; number++) {
            this.world.addEntry(`entry-${number}`);
        }
        await pass(this, 200);
    },
);

When("worker 3 joins in {string}", function(this: World, zone: string) {
    addWorkers(this, 1, zone);
});

When("{string} is evacuated", function(this: EvacuationWorld, zone: string) {
    this.eventsBefore = this.world.workers.events.length;
    this.world.evacuate(zone, true);
});

When("{string} is taken back", function(this: World, zone: string) {
    this.world.evacuate(zone, false);
});

When("news of the operators' instructions stay away", function(this: World) {
    this.world.isPolicyFresh = false;
});

When("news of the operators' instructions come again", function(this: World) {
    this.world.isPolicyFresh = true;
});

When("a submission comes whose {int} tasks may have copies", function(this: World, count: number) {
    this.ids.push("9".repeat(16));
    this.world.submit("9".repeat(16), [{ count, isSpeculative: true }]);
});

Given(
    "{int} standby machines in {string} and {int} in {string}",
    function(this: World, first: number, firstZone: string, second: number, secondZone: string) {
        addStandby(this);
        listMachines(this);
        const zones = [...Array<string>(first).fill(firstZone), ...Array<string>(second).fill(secondZone)];
        const spare = zones.map((zone, at) => ({
            id: `spare-${at + 1}`,
            pool: "spare",
            state: "up" as const,
            zone,
            labels: [],
            capacity: { cpuMillis: 4000, memoryMb: 16_000, accelerators: 0 },
            workerId: undefined,
        }));
        zones.forEach((zone, at) => this.world.zones.set(`spare-${at + 1}-worker`, zone));
        this.world.setMachines([...this.world.listed(), ...spare]);
    },
);

function movedFrom({ world }: World, zone: string): readonly string[] {
    const zones = new Map(world.listed().map((machine) => [machine.id, machine.zone]));
    return world.machineOrders.filter((order) => {
        const [kind, id = "", target] = order.split(" ");
        return kind === "move" && target !== "spare" && zones.get(id) === zone;
    });
}

Then("machines of the standby pool in {string} come", function(this: World, zone: string) {
    assert.notDeepEqual(movedFrom(this, zone), []);
});

Then("no machine of the standby pool in {string} comes", function(this: World, zone: string) {
    assert.deepEqual(movedFrom(this, zone), []);
});

Then("nothing was started in {string} since", function(this: EvacuationWorld, zone: string) {
    const since = this.world.workers.events.slice(this.eventsBefore);
    const started = since.filter(({ kind, worker }) => kind === "started" && zoneOf(this, worker) === zone);
    assert.deepEqual(started, []);
});

Then("the machines of {string} went down first", function(this: World, zone: string) {
    const zones = new Map(this.world.listed().map((machine) => [machine.id, machine.zone]));
    const order = this.world.machineOrders.map((text) => zones.get(text.split(" ")[1] ?? "") === zone);
    assert.deepEqual(order, [...order].sort((a, b) => Number(b) - Number(a)));
});
