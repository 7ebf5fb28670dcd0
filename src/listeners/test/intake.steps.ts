import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { ConnectionLoad, ConnectionPhase } from "../connectionLoad";
import { createIntake, type Intake, type IntakeConnection } from "../createIntake";
import { defaultIntakeLimits, type IntakeLimits } from "../intakeLimits";

interface World {
    intake: Intake;
    maxConnections: number;
    loads: Map<string, ConnectionLoad>;
    connections: Map<string, IntakeConnection>;
    closed: string[];
    isAdmitted: boolean;
}

const listener = "clients";
const kB = 1000;
const idle: ConnectionLoad = { droppableBytes: 0, requestBytes: 0, phase: "idle", progress: 0 };

Before(function(this: World) {
    this.loads = new Map();
    this.connections = new Map();
    this.closed = [];
    this.maxConnections = 100;
    startIntake(this, {});
});

function startIntake(world: World, limits: Partial<IntakeLimits>): void {
    world.intake = createIntake({ limits: { ...defaultIntakeLimits, ...limits }, onLimit: () => {} });
}

/** Sets the load of a connection, which is opened if need be. */
function setLoad(world: World, name: string, load: Partial<ConnectionLoad>): void {
    world.loads.set(name, { ...idle, ...world.loads.get(name), ...load });
    world.intake.update(open(world, name));
}

function open(world: World, name: string): IntakeConnection {
    const known = world.connections.get(name);
    if (known !== undefined) {
        return known;
    }
    const connection: IntakeConnection = {
        load: () => world.loads.get(name) ?? idle,
        closeFor(limit) {
            world.closed.push(`${name} ${limit}`);
            world.intake.disconnect(connection);
        },
        proceed: () => {},
    };
    world.connections.set(name, connection);
    world.isAdmitted = world.intake.connect(listener, connection, world.maxConnections);
    return connection;
}

Given("limits of {int} ms for each phase", function(this: World, ms: number) {
    startIntake(this, { maxIdleMs: ms, maxHeadMs: ms, maxBodyMs: ms, maxUnreadMs: ms });
});

Given("a limit of {int} kB", function(this: World, limitKb: number) {
    startIntake(this, { maxHeldBytes: limitKb * kB });
});

Given("a listener for {int} connections", function(this: World, count: number) {
    this.maxConnections = count;
});

Given("connection {string} is in phase {string}", function(this: World, name: string, phase: ConnectionPhase) {
    setLoad(this, name, { phase });
});

Given("connections hold {string} kB that can be dropped", function(this: World, list: string) {
    for (const each of list.split(", ")) {
        const [name = "", held = ""] = each.split(" ");
        setLoad(this, name, { droppableBytes: Number(held) * kB });
    }
});

Given("connection {string} carries out requests of {int} kB", function(this: World, name: string, heldKb: number) {
    setLoad(this, name, { requestBytes: heldKb * kB, phase: "busy" });
});

When("{int} ticks of {int} ms pass", function(this: World, ticks: number, ms: number) {
    for (let tick = 0; tick < ticks; tick++) {
        this.intake.tick(ms);
    }
});

When("connection {string} makes progress", function(this: World, name: string) {
    setLoad(this, name, { progress: 1 });
});

When("connection {string} asks for {int} kB to carry out a request", function(this: World, name: string, kb: number) {
    this.isAdmitted = this.intake.admit(open(this, name), kb * kB);
});

When("connection {string} is opened", function(this: World, name: string) {
    open(this, name);
});

Then("it is admitted", function(this: World) {
    assert.equal(this.isAdmitted, true);
});

Then("it is refused", function(this: World) {
    assert.equal(this.isAdmitted, false);
});

Then("the closed connections are {string}", function(this: World, closed: string) {
    assert.equal(this.closed.join(", "), closed);
});
