import { After, Before, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import { type Clock, install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import type { Either } from "purify-ts";
import {
    assertSame,
    createTestFleet,
    logKey,
    type TestEntry,
    type TestFleet,
} from "../../../bench/configuration/createTestFleet";
import { runSchedule } from "../../../bench/configuration/runSchedule";
import type { Platform } from "../../platform";
import type { AppendFailure } from "../index";
import { sendMalformed } from "./sendMalformed";

interface World {
    clock: Clock;
    fleet: TestFleet;
    answers: Promise<Either<AppendFailure, number>>[];
    violations: string[];
}

setDefaultTimeout(60_000);

Before(function(this: World) {
    this.clock = install();
    this.fleet = createTestFleet();
    this.answers = [];
});

After(function(this: World) {
    this.fleet.stop();
    this.clock.uninstall();
});

function entry(world: World, at: number): TestEntry {
    return world.fleet.entries[at - 1] ?? assert.fail(`no entry ${at}`);
}

async function addAll(world: World, by: TestEntry, count: number, prefix: string): Promise<void> {
    for (let at = 0; at < count; at++) {
        const added = world.fleet.addPool(by, `${prefix}-${at}`);
        await world.clock.tickAsync(200);
        assert.ok((await added).isRight());
    }
}

function storedLog(world: World) {
    return world.fleet.platform.values.get(logKey) ?? assert.fail("no log");
}

async function addWithLostResponse(world: World, name: string): Promise<void> {
    world.fleet.platform.lostWriteAnswers = 1;
    world.answers.push(world.fleet.addPool(entry(world, 1), name));
    while (!world.fleet.platform.values.get(logKey)?.text.includes(`"${name}"`)) {
        await world.clock.tickAsync(1);
    }
}

Given("{int} entries", async function(this: World, count: number) {
    Array.from({ length: count }, () => this.fleet.start());
    await this.clock.tickAsync(15_000);
});

When("the response to the next write is lost and entry 1 adds {string}", async function(this: World, name: string) {
    await addWithLostResponse(this, name);
    await this.clock.tickAsync(3000);
});

When(
    "entry 1 adds {string}, its response is lost, and entry 2 adds {int} pools before entry 1 retries",
    async function(this: World, name: string, count: number) {
        await addWithLostResponse(this, name);
        this.fleet.freeze(entry(this, 1));
        await addAll(this, entry(this, 2), count, "pool");
        this.fleet.wake(entry(this, 1));
        await this.clock.tickAsync(3000);
    },
);

When(
    "entry 1 adds {string}, its response is lost and the platform stays down",
    async function(this: World, name: string) {
        await addWithLostResponse(this, name);
        this.fleet.platform.isDown = true;
        await this.clock.tickAsync(30_000);
    },
);

When("entries 1, 2 and 3 each add {int} pools at once", async function(this: World, count: number) {
    for (const by of this.fleet.entries) {
        for (let at = 0; at < count; at++) {
            this.answers.push(this.fleet.addPool(by, `${by.boot}-${at}`));
        }
    }
    await this.clock.tickAsync(15_000);
});

When(
    "entry 2 adds {string} while a new entry reads a snapshot for its write of {string}",
    async function(this: World, other: string, own: string) {
        await addAll(this, entry(this, 2), 12, "pool");
        const late = this.fleet.start("zone-a", delaySnapshotReads);
        disconnectFromPeers(this, late);
        this.answers.push(this.fleet.addPool(late, own));
        await this.clock.tickAsync(20);
        this.answers.push(this.fleet.addPool(entry(this, 2), other));
        await this.clock.tickAsync(15_000);
    },
);

function disconnectFromPeers(world: World, { boot }: TestEntry): void {
    world.fleet.entries.forEach((other) => world.fleet.network.cuts.add(`${boot}>${other.boot}`));
}

Given("an entry with a delayed watch, and entry 2", async function(this: World) {
    this.fleet.start("zone-a", (inner) => ({
        ...inner,
        async watch(known, waitMs) {
            const answer = await inner.watch(known, waitMs);
            await new Promise((resolve) => setTimeout(resolve, 5000));
            return answer;
        },
    }));
    this.fleet.start();
    await this.clock.tickAsync(15_000);
});

When("an entry starts without a link to entry 1", async function(this: World) {
    disconnectFromPeers(this, this.fleet.start());
    await this.clock.tickAsync(1000);
});

When(
    "an entry without links is paused, entry 1 adds 5 pools across a compaction, and the first is resumed",
    async function(this: World) {
        const lagging = this.fleet.start("zone-a", (inner) => ({
            ...inner,
            read: (key) => key.includes("snapshot") ? assert.fail("the entry read a snapshot") : inner.read(key),
        }));
        disconnectFromPeers(this, lagging);
        await addAll(this, entry(this, 1), 6, "pool");
        this.fleet.freeze(lagging);
        await addAll(this, entry(this, 1), 5, "more");
        this.fleet.wake(lagging);
        disconnectFromPeers(this, lagging);
        await this.clock.tickAsync(1000);
    },
);

When("the snapshot is overwritten and an entry starts without links", async function(this: World) {
    const other = createTestFleet();
    const writer = other.start();
    await addAll({ ...this, fleet: other }, writer, 20, "other");
    const isSnapshot = (key: string) => key.startsWith("samphirepin/snapshot/");
    const [foreign] = [...other.platform.values].filter(([key]) => isSnapshot(key)).map(([, value]) => value);
    other.stop();
    const own = [...this.fleet.platform.values.keys()].filter(isSnapshot);
    own.forEach((key) => this.fleet.platform.values.set(key, foreign ?? assert.fail("no snapshot")));
    disconnectFromPeers(this, this.fleet.start());
    await this.clock.tickAsync(5000);
});

Then("that entry has applied nothing", function(this: World) {
    assert.deepEqual(this.fleet.entries.at(-1)?.applied(), []);
});

Then("the resumed entry has applied all, and no snapshot was read", function(this: World) {
    const log = JSON.parse(storedLog(this).text) as { baseRevision: number; };
    assert.ok(log.baseRevision > 0, "the log was not compacted");
    assertSame(this.fleet.live(), entry(this, 1).applied());
    assert.equal(entry(this, 1).applied().length, 11);
});

Then("entry 1 says after {int} s that revision {int} is not in force everywhere", async function(
    this: World,
    seconds: number,
    revision: number,
) {
    const waiting = entry(this, 1).configuration.awaitInForce(revision, seconds * 1000);
    await this.clock.tickAsync(seconds * 1000 + 100);
    const { everywhere, missing } = await waiting;
    assert.equal(everywhere, false);
    assert.ok(missing.some(({ boot }) => boot === entry(this, 3).boot));
});

/** Delays reads of snapshots by 500 ms; the watch is not delayed. */
function delaySnapshotReads(inner: Platform): Platform {
    return {
        ...inner,
        async read(key) {
            const isSlow = key.startsWith("samphirepin/snapshot/");
            await new Promise((resolve) => setTimeout(resolve, isSlow ? 500 : 0));
            return inner.read(key);
        },
    };
}

When("entry {int} adds {int} pools one by one", async function(this: World, at: number, count: number) {
    await addAll(this, entry(this, at), count, `by-${at}`);
});

When("entry 1 adds 8 pools, writes the snapshot for the next and is killed", async function(this: World) {
    await addAll(this, entry(this, 1), 8, "pool");
    const { platform } = this.fleet;
    platform.onWrite = (_client, key) => {
        if (key.startsWith("samphirepin/snapshot/")) {
            platform.onWrite = () => {};
            this.fleet.kill(entry(this, 1));
        }
    };
    void this.fleet.addPool(entry(this, 1), "never");
    await this.clock.tickAsync(1000);
    assert.equal(entry(this, 1).isLive, false);
});

When("entry 1 adds 3 pools and the log of revision 1 is delivered again", async function(this: World) {
    await addAll(this, entry(this, 1), 1, "first");
    const { text } = storedLog(this);
    await addAll(this, entry(this, 1), 2, "later");
    this.fleet.entries.forEach(({ watcher }) => watcher.observe(logKey, { text, revision: 99 }));
    await this.clock.tickAsync(1000);
});

When(
    "the platform is restored to its value before {int} accepted commands",
    async function(this: World, count: number) {
        await addAll(this, entry(this, 1), 5, "kept");
        const backup = this.fleet.backUp();
        await addAll(this, entry(this, 1), count, "later");
        this.fleet.restore(backup);
    },
);

When("{int} s pass", async function(this: World, seconds: number) {
    await this.clock.tickAsync(seconds * 1000);
});

When("the platform goes down for an hour", async function(this: World) {
    this.fleet.platform.isDown = true;
    await this.clock.tickAsync(3_600_000);
});

When("an entry starts", function(this: World) {
    this.fleet.start();
});

When("entry {int} loses its connection to the platform", async function(this: World, at: number) {
    this.fleet.platform.cutOff.add(entry(this, at).boot);
    await this.clock.tickAsync(25_000);
});

When("entry 1 adds {string}", function(this: World, name: string) {
    this.answers.push(this.fleet.addPool(entry(this, 1), name));
});

When("entry 3 is paused and entry 1 adds {int} pools one by one", async function(this: World, count: number) {
    this.fleet.freeze(entry(this, 3));
    await addAll(this, entry(this, 1), count, "pool");
});

When("entry 3 is resumed", function(this: World) {
    this.fleet.wake(entry(this, 3));
});

When("entry 1 adds {string} and an entry starts", async function(this: World, name: string) {
    this.fleet.start();
    await this.clock.tickAsync(1);
    this.answers.push(this.fleet.addPool(entry(this, 1), name));
});

When("entry 3 is killed and its instance leaves the list", function(this: World) {
    this.fleet.kill(entry(this, 3));
});

When("entry 1 adds 3 pools and the log is overwritten with another of 5 records", async function(this: World) {
    await addAll(this, entry(this, 1), 3, "pool");
    const other = createTestFleet();
    const writer = other.start();
    for (let at = 0; at < 5; at++) {
        void other.addPool(writer, `other-${at}`);
        await this.clock.tickAsync(100);
    }
    const text = other.platform.values.get(logKey)?.text ?? "";
    other.stop();
    this.fleet.entries.forEach(({ watcher }) => watcher.observe(logKey, { text, revision: 99 }));
    await this.clock.tickAsync(1000);
});

When("entry 3 is isolated for {int} s and connected again", async function(this: World, seconds: number) {
    const { boot } = entry(this, 3);
    this.fleet.platform.cutOff.add(boot);
    this.fleet.network.frozen.add(boot);
    await this.clock.tickAsync(seconds * 1000);
    this.fleet.platform.cutOff.delete(boot);
    this.fleet.network.wake(boot);
    await this.clock.tickAsync(30_000);
});

When("{int} malformed logs and messages reach entry 2", async function(this: World, count: number) {
    await addAll(this, entry(this, 1), 2, "pool");
    await sendMalformed(this.fleet, entry(this, 2), count, (ms) => this.clock.tickAsync(ms));
});

When("{int} schedules of faults are run", async function(this: World, count: number) {
    this.clock.uninstall();
    this.violations = [];
    for (let seed = 1; seed <= count; seed++) {
        const { violations } = await runSchedule(seed);
        this.violations.push(...violations.map((violation) => `seed ${seed}: ${violation}`));
    }
});

Then(
    "entry 1 is told that {string} is accepted at revision {int}",
    async function(this: World, _name: string, revision: number) {
        assert.equal((await this.answers[0])?.orDefault(-1), revision);
    },
);

Then("entry 1 is told that the outcome of {string} is unknown", async function(this: World, _name: string) {
    assert.equal((await this.answers[0])?.swap().map(({ kind }) => kind).extract(), "unknown");
});

Then("every entry has applied {string}", function(this: World, name: string) {
    assertSame(this.fleet.live(), [name]);
});

Then("every entry has applied both", async function(this: World) {
    assert.ok((await Promise.all(this.answers)).every((answer) => answer.isRight()));
    assert.equal(entry(this, 1).applied().length, 14);
    assertSame(this.fleet.live(), entry(this, 1).applied());
});

Then("all of them are accepted once, in one order, at every entry", async function(this: World) {
    const revisions = (await Promise.all(this.answers)).map((answer) => answer.orDefault(-1));
    assert.deepEqual([...revisions].sort((a, b) => a - b), revisions.map((_, at) => at + 1));
    assert.equal(entry(this, 1).applied().length, revisions.length);
    assertSame(this.fleet.live(), entry(this, 1).applied());
});

Then("the log holds at most {int} records and refers to a snapshot", function(this: World, most: number) {
    const log = JSON.parse(storedLog(this).text) as { records: unknown[]; snapshot?: unknown; };
    assert.ok(log.records.length <= most, `${log.records.length} records`);
    assert.ok(log.snapshot !== undefined);
});

Then("the platform holds {int} snapshot(s)", function(this: World, count: number) {
    const keys = [...this.fleet.platform.values.keys()].filter((key) => key.startsWith("samphirepin/snapshot/"));
    assert.equal(keys.length, count, keys.join(" "));
});

Then("an entry that starts now has applied all {int}", async function(this: World, count: number) {
    const started = this.fleet.start();
    await this.clock.tickAsync(1000);
    assert.equal(started.applied().length, count);
    assertSame(this.fleet.live(), entry(this, 1).applied());
});

Then("every live entry has applied {int} pools", function(this: World, count: number) {
    const live = this.fleet.live();
    assert.equal(live[0]?.applied().length, count);
    assertSame(live, live[0]?.applied() ?? []);
});

Then("no entry has reverted to an older revision", function(this: World) {
    this.fleet.entries.forEach(({ revisions, configuration }) => {
        assert.deepEqual(revisions.slice(-3), [1, 2, 3]);
        assert.equal(configuration.state()?.revision, 3);
    });
});

Then("every entry has reported that the platform went back", function(this: World) {
    this.fleet.live().forEach(({ events, boot }) => {
        assert.ok(events.some((event) => event.kind === "platformWentBack" && event.key === logKey), boot);
    });
});

Then("every entry has reported a refused log", function(this: World) {
    this.fleet.live().forEach(({ events }) => assert.ok(events.some(({ kind }) => kind === "valueRefused")));
});

Then("the platform holds all {int} accepted commands again", function(this: World, count: number) {
    const log = JSON.parse(storedLog(this).text) as { baseRevision: number; records: unknown[]; };
    assert.equal(log.baseRevision + log.records.length, count);
    assert.equal(entry(this, 1).applied().length, count);
});

Then("a command added then is applied everywhere", async function(this: World) {
    const before = entry(this, 1).applied().length;
    await addAll(this, entry(this, 2), 1, "after");
    await this.clock.tickAsync(5000);
    assert.equal(entry(this, 1).applied().length, before + 1);
    assertSame(this.fleet.live(), entry(this, 1).applied());
});

Then("entry 3 has applied {string} within {int} ms", async function(this: World, name: string, ms: number) {
    await this.clock.tickAsync(ms);
    assertSame([entry(this, 3)], [name]);
});

Then("entry 1 says that revision {int} is not in force at entry 3", function(this: World, revision: number) {
    const { everywhere, missing } = entry(this, 1).configuration.inForce(revision);
    assert.equal(everywhere, false);
    assert.deepEqual(missing.map(({ boot }) => boot), [entry(this, 3).boot]);
    assert.ok((missing[0]?.lastHeardAtMs ?? Infinity) < Date.now());
});

Then(
    "entry 1 says within {int} s that revision {int} is in force everywhere",
    async function(this: World, seconds: number, revision: number) {
        const waiting = entry(this, 1).configuration.awaitInForce(revision, seconds * 1000);
        await this.clock.tickAsync(seconds * 1000 + 100);
        const { everywhere, missing } = await waiting;
        assert.ok(everywhere, JSON.stringify(missing));
    },
);

Then("entry 3 has reported that it was isolated and rejoined", function(this: World) {
    const kinds = entry(this, 3).events.map(({ kind }) => kind);
    assert.deepEqual(kinds.filter((kind) => kind === "isolated" || kind === "rejoined"), ["isolated", "rejoined"]);
});

Then("entry 2 has reported a record that it cannot read", function(this: World) {
    const isRefusal = (text: string) => text.includes("valueRefused") && text.includes("cannot be read");
    assert.ok(entry(this, 2).events.some((event) => isRefusal(JSON.stringify(event))));
});

Then("no guarantee is violated", function(this: World) {
    assert.deepEqual(this.violations, []);
});
