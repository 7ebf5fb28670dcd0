import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { policyDecoder } from "../../platform";
import { type Proxy, startProxy } from "../../soak/createProxy";
import { createClocks, pause } from "../../src/clock";
import { createStoreAccess, type StoreAccess } from "../../src/daemon";
import { createPolicyWatcher, type PolicyWatcher } from "../../src/policy";
import { createFakeNetwork } from "../../standins/fakes";
import { createFakeStore, type FakeStore, plainPolicy } from "../../standins/scheduling";
import { encodePolicy, type JsonServer, serveStore } from "../../standins/usersPlatform";

interface World {
    store: FakeStore;
    server: JsonServer;
    proxy: Proxy;
    access: StoreAccess;
    watcher: PolicyWatcher;
    confirmedAtMs: number;
}

After(async function(this: World) {
    this.watcher.stop();
    await this.access.close();
    this.proxy.close();
    this.server.close();
});

function confirmVersion(world: World, version: number): void {
    const { key, text } = encodePolicy({ ...plainPolicy, version });
    world.store.put(key, text);
    world.confirmedAtMs = performance.now();
}

async function waitUntilInForce(world: World, version: number, untilMs: number): Promise<void> {
    while (world.watcher.policy()?.version !== version && performance.now() < untilMs) {
        await pause(5);
    }
    assert.equal(world.watcher.policy()?.version, version);
}

Given(
    "an entry with {int} connections to the store that watches the configuration",
    async function(this: World, connections: number) {
        this.store = createFakeStore();
        this.server = await serveStore(this.store.connect("entry-1"));
        this.proxy = await startProxy("to the store", this.server.address);
        const clocks = createClocks();
        const self = { boot: "entry-1", instance: "entry-1", region: "r", zone: "z", peerUrl: "ws://entry-1" };
        this.access = createStoreAccess({
            address: this.proxy.address,
            peers: createFakeNetwork().connect(self),
            nowMs: clocks.suspendAwareMs,
            report() {},
            onLost() {},
        });
        this.watcher = createPolicyWatcher({
            store: this.access.store,
            decoder: policyDecoder,
            clocks,
            report() {},
            configApplyMs: 2000,
        });
        confirmVersion(this, 1);
        this.watcher.start();
        await waitUntilInForce(this, 1, performance.now() + 1000);
        await Promise.all(Array.from({ length: connections }, (_, at) => this.access.store.read(`key-${at}`)));
    },
);

When("the connections fall silent right after a watch was sent", async function(this: World) {
    confirmVersion(this, 2);
    await waitUntilInForce(this, 2, performance.now() + 1000);
    await pause(20);
    this.proxy.silenceOpen();
});

When("a configuration is confirmed {int} ms later", async function(this: World, ms: number) {
    await pause(ms);
    confirmVersion(this, 3);
});

Then("it is in force within {int} ms", function(this: World, ms: number) {
    return waitUntilInForce(this, 3, this.confirmedAtMs + ms);
});
