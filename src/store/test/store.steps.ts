import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import { createFakeNetwork, type FakeNetwork } from "../../../standins/fakes";
import { createFakeStore, type FakeStore, type StoreFault } from "../../../standins/scheduling";
import { pause } from "../../clock";
import type { Peers } from "../../peers";
import {
    catchUp,
    createHedgedStore,
    createPrefixWatcher,
    createRelayedStore,
    type PrefixSnapshot,
    type PrefixWatcher,
    type RelayedStore,
    type Store,
    type StoreItem,
} from "../index";

interface World {
    clock: Clock;
    store: FakeStore;
    watcher: PrefixWatcher | undefined;
    lost: number;
    regained: number;
    /** Texts of the items that the watcher has applied, in order. */
    applied: string[];
    firstItem: StoreItem | undefined;
    entries: Map<string, RelayedStore>;
    peers: Map<string, Peers>;
    network: FakeNetwork;
    batches: number;
    copy: PrefixSnapshot;
}

Before(function(this: World) {
    this.clock = installClock();
    this.store = createFakeStore();
    this.entries = new Map();
    this.peers = new Map();
    this.watcher = undefined;
    this.lost = 0;
    this.regained = 0;
    this.applied = [];
    this.batches = 0;
});

After(function(this: World) {
    this.watcher?.stop();
    this.clock.uninstall();
});

Given(
    "a watcher of prefix {string} on a store that answers in {int} ms",
    function(this: World, prefix: string, answerMs: number) {
        this.store.setAnswerMs(answerMs);
        this.watcher = createWatcher(this, prefix);
        this.watcher.start();
    },
);

When("{string} is written as {string} and offered to the watcher", function(this: World, key: string, text: string) {
    this.store.put(key, text);
    const item = this.store.get(key);
    assert.ok(item);
    this.watcher?.offer(item);
});

When("the first record of {string} is offered to the watcher", function(this: World, key: string) {
    assert.equal(this.firstItem?.key, key);
    this.watcher?.offer(this.firstItem as StoreItem);
});

Then(
    /^the watcher has applied "(.+)" (once|twice), as "(.+)"$/,
    function(this: World, key: string, count: string, text: string) {
        assert.equal(this.applied.length, count === "once" ? 1 : 2, this.applied.join(" "));
        assert.equal(this.watcher?.items.get(key)?.text, text);
    },
);

function createWatcher(
    world: World,
    prefix: string,
    initial?: PrefixSnapshot,
    store: Store = world.store.connect("entry-1"),
): PrefixWatcher {
    return createPrefixWatcher({
        store,
        prefix,
        waitMs: 1000,
        pauseMs: 0,
        nowMs: () => performance.now(),
        onItem: (_key, item) => void world.applied.push(item?.text ?? ""),
        onBatch: () => world.batches++,
        onStoreLost: () => world.lost++,
        onStoreRecovered: () => world.regained++,
        ...initial === undefined ? {} : { initial },
    });
}

Given(
    "a watcher of prefix {string} whose long polls are answered {int} ms late",
    async function(this: World, prefix: string, lateMs: number) {
        const store = this.store.connect("entry-1");
        this.watcher = createWatcher(this, prefix, undefined, {
            ...store,
            async watch(watched, after, waitMs) {
                const result = await store.watch(watched, after, waitMs);
                await pause(waitMs > 0 ? lateMs : 0);
                return result;
            },
        });
        this.watcher.start();
        await this.clock.advance(100);
    },
);

Then("the watcher has applied {int} changes", function(this: World, count: number) {
    assert.equal(this.applied.length, count);
});

Given(
    "a watcher of prefix {string} at {string} that repeats overdue watches",
    function(this: World, prefix: string, name: string) {
        const entry = findEntry(this, name);
        const store = createHedgedStore({ store: entry, alternatives: [entry.peers] });
        this.watcher = createWatcher(this, prefix, undefined, store);
        this.watcher.start();
    },
);

Given(
    "a watcher of prefix {string} that repeats overdue watches on a store that limits the rate of calls",
    async function(this: World, prefix: string) {
        const refused = { kind: "unavailable", detail: "status 429", isRateLimited: true } as const;
        const first = { ...this.store.connect("entry-1"), watch: () => Promise.resolve(refused) };
        const store = createHedgedStore({ store: first, alternatives: [this.store.connect("other path")] });
        this.watcher = createWatcher(this, prefix, undefined, store);
        this.watcher.start();
    },
);

Then("the store has had no call on another path", function(this: World) {
    assert.equal(this.store.calls("other path"), 0);
});

When("the link from {string} to {string} falls silent", function(this: World, from: string, to: string) {
    this.network.silences.add(`${from}>${to}`).add(`${to}>${from}`);
});

When("the watcher is refreshed", async function(this: World) {
    assert.ok(this.watcher);
    await finish(this, this.watcher.refresh());
});

Given("a watcher of prefix {string}", function(this: World, prefix: string) {
    this.watcher = createWatcher(this, prefix);
    this.watcher.start();
});

async function copyPrefix(world: World, prefix: string): Promise<PrefixSnapshot> {
    const { result } = await finish(world, world.store.connect("copier").range(prefix));
    assert.equal(result.kind, "items");
    return { items: new Map(result.items.map((item) => [item.key, item])), revision: result.revision };
}

Given("a watcher of prefix {string} that is given the items so far", async function(this: World, prefix: string) {
    this.watcher = createWatcher(this, prefix, await copyPrefix(this, prefix));
});

When("the watcher is started", function(this: World) {
    this.watcher?.start();
});

Then("{int} batch(es) is/are reported", function(this: World, count: number) {
    assert.equal(this.batches, count);
});

Then("{int} prefix(es) was/were read", function(this: World, count: number) {
    assert.equal(this.store.rangeCalls("entry-1"), count);
});

Given("a copy of prefix {string}", async function(this: World, prefix: string) {
    this.copy = await copyPrefix(this, prefix);
});

When("{string} is deleted", function(this: World, key: string) {
    this.store.remove(key);
});

When("nothing else happens", function(this: World) {});

When("the history is compacted", function(this: World) {
    this.store.forgetHistory();
});

When("watches of {string} do not show these writes", function(this: World, prefix: string) {
    this.store.holdWatches(prefix, this.copy.revision);
});

Then(
    "the copy caught up with the store is {string}, after {int} calls",
    async function(this: World, expected: string, calls: number) {
        const { result: { revision } } = await finish(this, this.store.connect("copier").range("a/")) as {
            result: { revision: number; };
        };
        const { result } = await finish(
            this,
            catchUp({
                store: this.store.connect("entry-1"),
                prefix: "a/",
                snapshot: this.copy,
                minRevision: revision,
            }),
        );
        const items = result && [...result.items.values()].map(({ key, text }) => `${key}=${text}`).join(" ");
        assert.equal(items ?? "undefined", expected);
        assert.equal(this.store.calls("entry-1"), calls);
    },
);

When("the store closes the watcher's pending watch", async function(this: World) {
    await this.clock.advance(100);
    this.store.cutWatches();
    await this.clock.advance(300);
});

Then("the watcher has not reported the store as lost", function(this: World) {
    assert.equal(this.lost, 0);
});

Then("the watcher has reported the store as lost and recovered, once each", function(this: World) {
    assert.deepEqual([this.lost, this.regained], [1, 1]);
});

When("{string} watches, and the store closes pending watches", async function(this: World, name: string) {
    const watching = findEntry(this, name).watch("k", 10, 2000);
    await this.clock.advance(100);
    this.store.cutWatches();
    assert.equal((await finish(this, watching)).result.kind, "unavailable");
});

Given("entries {string} and {string} are linked peers", function(this: World, first: string, second: string) {
    return linkEntries(this, [first, second]);
});

Given("entries {string} to {string} are linked peers", function(this: World, first: string, last: string) {
    const [from, to] = [first, last].map((name) => Number(name.split("-")[1])) as [number, number];
    return linkEntries(this, Array.from({ length: to - from + 1 }, (_, at) => `entry-${from + at}`));
});

When("the store is {string} for all entries but {string}", function(this: World, fault: StoreFault, served: string) {
    [...this.entries.keys()].filter((name) => name !== served).forEach((name) => this.store.setFault(name, fault));
});

Then("one of {int} writes of {string} succeeds", async function(this: World, count: number, name: string) {
    const kinds: string[] = [];
    while (kinds.length < count && kinds.at(-1) !== "committed") {
        kinds.push((await write(this, name)).result.kind);
    }
    assert.equal(kinds.at(-1), "committed", kinds.join(" "));
});

async function linkEntries(world: World, names: readonly string[]): Promise<void> {
    world.network = createFakeNetwork();
    for (const boot of names) {
        const peer = { boot, instance: boot, region: "r", zone: "z", peerUrl: `ws://${boot}` };
        const peers = world.network.connect(peer);
        await peers.start();
        world.peers.set(boot, peers);
        const direct = world.store.connect(boot);
        world.entries.set(boot, createRelayedStore({ direct, peers, nowMs: () => performance.now() }));
    }
}

When(/^"(.+)" answers relayed calls with (nothing|\{\})$/, function(this: World, name: string, answer: string) {
    this.peers.get(name)?.onRequest("store", () => Promise.resolve(answer === "nothing" ? undefined : {}));
});

Then("no peer of {string} has an answer of the store", async function(this: World, name: string) {
    assert.equal((await finish(this, findEntry(this, name).probePeers(300))).result, false);
});

When("{string} is written as {string}", function(this: World, key: string, text: string) {
    this.store.put(key, text);
    this.firstItem ??= this.store.get(key);
});

When("{string} is deleted and the history compacted", function(this: World, key: string) {
    this.store.setFault("entry-1", "silent");
    this.store.remove(key);
    this.store.forgetHistory();
    this.store.setFault("entry-1", undefined);
});

When("{int} ms pass", async function(this: World, ms: number) {
    await this.clock.advance(ms);
});

When("the store is {string} for {string}", function(this: World, fault: StoreFault, entry: string) {
    this.store.setFault(entry, fault);
});

When("the store answers {string}", function(this: World, entry: string) {
    this.store.setFault(entry, undefined);
});

Then("the watcher's view is {string}", function(this: World, expected: string) {
    const items = [...this.watcher?.items.values() ?? []].map(({ key, text }) => `${key}=${text}`);
    assert.equal(items.join(" "), expected);
});

Then("the view is at least {int} ms old", function(this: World, ms: number) {
    assert.ok(performance.now() - (this.watcher?.freshAtMs() ?? 0) >= ms);
});

/** Advances the clock until the call ends; returns its result and duration. */
async function finish<T>(world: World, call: Promise<T>): Promise<{ readonly result: T; readonly tookMs: number; }> {
    const startedAtMs = performance.now();
    let ended: { result: T; } | undefined;
    void call.then((result) => ended = { result });
    for (let waitedMs = 0; ended === undefined && waitedMs < 10_000; waitedMs += 5) {
        await world.clock.advance(5);
    }
    assert.ok(ended);
    return { result: ended.result, tookMs: performance.now() - startedAtMs };
}

function findEntry(world: World, name: string): RelayedStore {
    const entry = world.entries.get(name);
    assert.ok(entry);
    return entry;
}

function write(world: World, name: string) {
    return finish(
        world,
        findEntry(world, name).commit({ conditions: [], puts: [{ key: "k", text: "v" }], deletes: [] }),
    );
}

Then("the next write of {string} succeeds", async function(this: World, name: string) {
    assert.equal((await write(this, name)).result.kind, "committed");
});

Then("{string} can write", async function(this: World, name: string) {
    assert.equal((await write(this, name)).result.kind, "committed");
});

When("{string} writes", async function(this: World, name: string) {
    await write(this, name);
});

When("{string} reads", async function(this: World, name: string) {
    await finish(this, findEntry(this, name).read("k"));
});

Then("a write of {string} ends as {string}", async function(this: World, name: string, kind: string) {
    assert.equal((await write(this, name)).result.kind, kind);
});

Then("{string} has made no call", function(this: World, name: string) {
    assert.equal(this.store.calls(name), 0);
});

Then("{string} is relay-only", function(this: World, name: string) {
    assert.equal(findEntry(this, name).isRelayOnly(), true);
});

Then("{string} is not relay-only", function(this: World, name: string) {
    assert.equal(findEntry(this, name).isRelayOnly(), false);
});

Then(
    "{int} reads of {string} take at most {int} ms",
    async function(this: World, count: number, name: string, ms: number) {
        let totalMs = 0;
        for (let index = 0; index < count; index++) {
            totalMs += (await finish(this, findEntry(this, name).read("k"))).tookMs;
        }
        assert.ok(totalMs <= ms, `${totalMs} ms`);
    },
);
