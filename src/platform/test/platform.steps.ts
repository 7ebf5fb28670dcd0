import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Either } from "purify-ts";
import { type Clock, installClock } from "../../../standins/dispatch";
import { createFakeStore, type FakeStore } from "../../../standins/scheduling";
import { createRegistration, createStorePlatform, type Platform, type Registration, type SwapFailure } from "../index";

interface World {
    clock: Clock;
    store: FakeStore;
    platforms: Map<string, Platform>;
    written: Either<SwapFailure, number>;
    known: Map<string, number>;
    registration: Registration;
    hasLeaseExpired: boolean;
}

const key = "samphirepin/followed/log";
const maxValueBytes = 1024 * 1024;

Before(function(this: World) {
    this.clock = installClock();
    this.store = createFakeStore();
    this.platforms = new Map();
    this.known = new Map();
    this.hasLeaseExpired = false;
});

After(function(this: World) {
    this.clock.uninstall();
});

function connect(world: World, client: string): Platform {
    const known = world.platforms.get(client);
    const platform = known
        ?? createStorePlatform({ store: world.store.connect(client), maxValueBytes, close: () => Promise.resolve() });
    world.platforms.set(client, platform);
    return platform;
}

/** Advances the fake clock until the call is answered. */
async function settle<T>(world: World, call: Promise<T>): Promise<T> {
    let isDone = false;
    const answer = call.finally(() => isDone = true);
    for (let step = 0; !isDone && step < 1000; step++) {
        await world.clock.advance(10);
    }
    return answer;
}

async function write(world: World, client: string, text: string, revision: number, targetKey = key): Promise<void> {
    world.written = await settle(world, connect(world, client).compareAndSwap(targetKey, revision, text));
}

When(
    "{string} writes {string} at revision {int}",
    function(this: World, client: string, text: string, revision: number) {
        return write(this, client, text, revision);
    },
);

When("{string} writes {int} bytes", function(this: World, client: string, sizeBytes: number) {
    return write(this, client, "x".repeat(sizeBytes), 0);
});

Given("{string} has written {string}", function(this: World, client: string, text: string) {
    return write(this, client, text, 0);
});

When("{string} writes {string} to {string}", function(this: World, client: string, text: string, targetKey: string) {
    return write(this, client, text, 0, targetKey);
});

Given(
    "{string} has written {string} to {string}",
    function(this: World, client: string, text: string, targetKey: string) {
        return write(this, client, text, 0, targetKey);
    },
);

Given("the store loses answers to {string}", function(this: World, client: string) {
    this.store.setFault(client, "answerLost");
});

When("the store does not answer {string}", function(this: World, client: string) {
    this.store.setFault(client, "silent");
});

When("the store answers {string} again", function(this: World, client: string) {
    this.store.setFault(client, undefined);
});

When("the store compacts its history", function(this: World) {
    this.store.forgetHistory();
});

Then("the write is accepted", function(this: World) {
    assert.ok(this.written.isRight());
});

Then("the write is refused as {string}", function(this: World, kind: string) {
    assert.equal(this.written.swap().map((failure) => failure.kind).orDefault("unavailable"), kind);
});

Then("the write is refused and shows {string}", function(this: World, text: string) {
    const shown = this.written.swap().map((failure) => failure.kind === "conflict" ? failure.current?.text : undefined);
    assert.equal(shown.orDefault(undefined), text);
});

Then("{string} reads {string}", async function(this: World, client: string, text: string) {
    const stored = await settle(this, connect(this, client).read(key));
    assert.equal(stored.orDefault(undefined)?.text, text);
});

async function watch(world: World, client: string): Promise<ReadonlyMap<string, { readonly revision: number; }>> {
    const platform = connect(world, client);
    for (let round = 0; round < 5; round++) {
        const changes = (await settle(world, platform.watch(world.known, 500))).orDefault(new Map());
        if (changes.size > 0) {
            changes.forEach(({ revision }, changedKey) => world.known.set(changedKey, revision));
            return changes;
        }
    }
    return new Map();
}

Given(
    "{string} watches {string} and {string}",
    async function(this: World, client: string, first: string, second: string) {
        [first, second].forEach((watchedKey) => this.known.set(watchedKey, 0));
        await settle(this, connect(this, client).watch(this.known, 0));
    },
);

Then("{string} is notified of {string} only", async function(this: World, client: string, watchedKey: string) {
    assert.deepEqual([...(await watch(this, client)).keys()], [watchedKey]);
});

Given("{string} has been notified of it", async function(this: World, client: string) {
    assert.equal((await watch(this, client)).size, 1);
});

When(
    "{string} watches again from an older revision of {string}",
    function(this: World, _client: string, watchedKey: string) {
        this.known.set(watchedKey, 0);
    },
);

When("instance {string} registers", async function(this: World, instance: string) {
    const nowMs = () => performance.now();
    this.registration = createRegistration({
        store: this.store.connect(instance),
        instance,
        boot: "boot-1",
        clocks: { monotonicMs: nowMs, suspendAwareMs: nowMs },
        onLeaseExpired: () => this.hasLeaseExpired = true,
    });
    this.registration.start();
    await this.clock.advance(100);
});

When("instance {string} stops", function(this: World, _instance: string) {
    return settle(this, this.registration.stop());
});

When("{int} s pass", async function(this: World, seconds: number) {
    for (let second = 0; second < seconds; second++) {
        await this.clock.advance(1000);
        this.store.expireLeases();
    }
});

Then("instance {string} treats its lease as expired", function(this: World, _instance: string) {
    assert.equal(this.hasLeaseExpired, true);
});

Then("instance {string} does not treat its lease as expired", function(this: World, _instance: string) {
    assert.equal(this.hasLeaseExpired, false);
});

async function list(world: World, client: string): Promise<readonly string[]> {
    const listed = await settle(world, connect(world, client).listInstances());
    return listed.orDefault([]).map(({ instance }) => instance);
}

Then("{string} lists {string}", async function(this: World, client: string, instance: string) {
    assert.deepEqual(await list(this, client), [instance]);
});

Then("{string} lists nothing", async function(this: World, client: string) {
    assert.deepEqual(await list(this, client), []);
});
