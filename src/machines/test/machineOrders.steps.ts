import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import { createFakeStore, type FakeStore } from "../../../standins/scheduling";
import { createMachineOrders, type MachineOrders, machineOrdersKey } from "../index";

interface World {
    ordersClock: Clock;
    ordersStore: FakeStore;
    orders: MachineOrders;
    decidedAtMs: Map<string, number>;
    sentAtMs: Map<string, number>;
    unrecorded: string[];
    givenUp: number;
}

const leaderKey = "leader";

After({ tags: "@machineOrders" }, function(this: World) {
    this.ordersClock.uninstall();
});

Given(
    "a leader that records orders to machines, and a store that answers in {int} ms",
    function(this: World, answerMs: number) {
        this.ordersClock = installClock();
        this.ordersStore = createFakeStore();
        this.ordersStore.setAnswerMs(answerMs);
        this.ordersStore.put(leaderKey, "{}");
        this.decidedAtMs = new Map();
        this.sentAtMs = new Map();
        this.unrecorded = [];
        this.givenUp = 0;
        const token = this.ordersStore.get(leaderKey)?.revision ?? 0;
        this.orders = createMachineOrders({
            store: this.ordersStore.connect("entry-1"),
            machines: {
                list: () => Promise.resolve({ kind: "machines", machines: [] }),
                move: (machine) => Promise.resolve(take(this, machine)),
                maintain: (machine) => Promise.resolve(take(this, machine)),
            },
            tenure: {
                token,
                condition: { key: leaderKey, revision: token },
                isValid: () => true,
                mayInterrupt: () => true,
            },
            orderer: { holder: "entry-1", token },
            report() {},
            minHandoverMs: 3000,
        });
    },
);

function take(world: World, machine: string): { readonly kind: "done"; } {
    world.sentAtMs.set(machine, performance.now());
    const record = world.ordersStore.get(machineOrdersKey)?.text ?? "{}";
    const { orderedAtMs = {} } = JSON.parse(record) as { orderedAtMs?: Record<string, number>; };
    if (!(machine in orderedAtMs)) {
        world.unrecorded.push(machine);
    }
    return { kind: "done" };
}

async function orderRepeatedly(world: World, count: number, intervalMs: number, seconds: number): Promise<void> {
    for (let atMs = 0; atMs < seconds * 1000; atMs += intervalMs) {
        const machines = Array.from({ length: count }, (_, at) => `machine-${atMs}-${at}`);
        machines.forEach((machine) => world.decidedAtMs.set(machine, performance.now()));
        const orders = machines.map((machine) => ({ kind: "move", machine, pool: "stalls" }) as const);
        void world.orders.send(orders, (_order, result) => {
            world.givenUp += result.kind === "notNow" ? 1 : 0;
        });
        await world.ordersClock.advance(intervalMs);
    }
    await world.ordersClock.advance(1000);
}

When(
    "it orders {int} machine(s) each {int} ms for {int} s",
    async function(this: World, count: number, intervalMs: number, seconds: number) {
        await orderRepeatedly(this, count, intervalMs, seconds);
    },
);

When(
    "the store is refused from {int} ms to {int} ms, and it orders {int} machine each {int} ms for {int} s",
    async function(
        this: World,
        fromMs: number,
        toMs: number,
        count: number,
        intervalMs: number,
        seconds: number,
    ) {
        setTimeout(() => this.ordersStore.setFault("entry-1", "refused"), fromMs);
        setTimeout(() => this.ordersStore.setFault("entry-1", undefined), toMs);
        await orderRepeatedly(this, count, intervalMs, seconds);
    },
);

Then("each order is sent within {int} ms", function(this: World, ms: number) {
    assert.equal(this.sentAtMs.size, this.decidedAtMs.size);
    for (const [machine, sentAtMs] of this.sentAtMs) {
        assert.ok(sentAtMs - (this.decidedAtMs.get(machine) ?? 0) <= ms, machine);
    }
});

Then("no order is sent before its record is in the store", function(this: World) {
    assert.ok(this.sentAtMs.size > 0);
    assert.deepEqual(this.unrecorded, []);
});

Then("{int} order(s) at least has/have been given up", function(this: World, least: number) {
    assert.ok(this.givenUp >= least, String(this.givenUp));
});
