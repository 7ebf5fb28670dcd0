import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import { createFakeStore, type FakeStore } from "../../../standins/scheduling";
import type { LogEvent } from "../../logging";
import type { Store } from "../../store";
import {
    chooseWatchWaitMs,
    createPolicyWatcher,
    isFreshEnoughToStart,
    type PolicyDecoder,
    type PolicyWatcher,
} from "../index";

interface World {
    clock: Clock;
    store: FakeStore;
    watcher: PolicyWatcher | undefined;
    log: LogEvent[];
    areWatchesSilent: boolean;
}

const prefix = "operators/";
const evacuationPrefix = `${prefix}evacuations/`;
const entryName = "entry-1";

const decoder: PolicyDecoder = {
    prefix,
    decodePolicy: () => undefined,
    decodeWave: () => undefined,
    decodeEvacuation: (key) => key.startsWith(evacuationPrefix) ? key.slice(evacuationPrefix.length) : undefined,
};

Before(function(this: World) {
    this.clock = installClock();
    this.store = createFakeStore();
    this.log = [];
    this.areWatchesSilent = false;
});

After(function(this: World) {
    this.watcher?.stop();
    this.clock.uninstall();
});

/** Longer than one watch waits, so that every change has been received, in milliseconds. */
const watchDeliveryMs = 2000;

async function pass({ clock }: World, ms: number): Promise<void> {
    await clock.advance(ms);
}

/** A store whose long polls end without an answer while they are silent. Calls that do not wait are answered. */
function silenceWatches(store: Store, areSilent: () => boolean): Store {
    return {
        ...store,
        async watch(watched, after, waitMs) {
            const result = await store.watch(watched, after, waitMs);
            return waitMs > 0 && areSilent() ? new Promise<never>(() => {}) : result;
        },
    };
}

When("its watches fall silent", function(this: World) {
    this.areWatchesSilent = true;
});

When("an evacuation of {string} is requested {int} ms later", async function(this: World, zone: string, ms: number) {
    await pass(this, ms);
    this.store.put(evacuationPrefix + zone, "{}");
});

When("the entry confirms that its view is at most {int} ms old", async function(this: World, ms: number) {
    void this.watcher?.confirm(ms);
    await pass(this, 50);
});

Then("no zone is under evacuation", function(this: World) {
    assert.deepEqual([...this.watcher?.evacuatedZones() ?? []], []);
});

Given("an entry that watches the operators' instructions", async function(this: World) {
    this.watcher = createPolicyWatcher({
        store: silenceWatches(this.store.connect(entryName), () => this.areWatchesSilent),
        decoder,
        clocks: { monotonicMs: () => performance.now(), suspendAwareMs: () => performance.now() },
        report: (event) => this.log.push(event),
        configApplyMs: 2000,
    });
    this.watcher.start();
    await pass(this, watchDeliveryMs);
});

Given("an evacuation of {string} was requested before", function(this: World, zone: string) {
    this.store.put(evacuationPrefix + zone, "{}");
});

When("an evacuation of {string} and {string} is requested", async function(this: World, first: string, second: string) {
    this.store.put(evacuationPrefix + first, "{}");
    this.store.put(evacuationPrefix + second, "{}");
    await pass(this, watchDeliveryMs);
});

When("an evacuation of {string} is requested", async function(this: World, zone: string) {
    this.store.put(evacuationPrefix + zone, "{}");
    await pass(this, watchDeliveryMs);
});

When(
    "an evacuation of {string} is requested with a value that can't be decoded",
    async function(this: World, zone: string) {
        this.store.put(evacuationPrefix + zone, "\u0000{");
        await pass(this, watchDeliveryMs);
    },
);

When("the evacuation of {string} is withdrawn", async function(this: World, zone: string) {
    this.store.remove(evacuationPrefix + zone);
    await pass(this, watchDeliveryMs);
});

When(
    "the store doesn't answer the entry for {int} ms, while the evacuation of {string} is withdrawn, one of {string} is requested and the history is lost",
    async function(this: World, ms: number, withdrawn: string, requested: string) {
        this.store.setFault(entryName, "silent");
        await pass(this, ms / 2);
        this.store.remove(evacuationPrefix + withdrawn);
        this.store.put(evacuationPrefix + requested, "{}");
        this.store.forgetHistory();
        await pass(this, ms / 2);
        this.store.setFault(entryName, undefined);
        await pass(this, watchDeliveryMs);
    },
);

Then("{string} is/are under evacuation", function(this: World, expected: string) {
    assert.equal([...this.watcher?.evacuatedZones() ?? []].sort().join(", "), expected);
});

Then("the log reports {int} evacuations begun and {int} ended", function(this: World, begun: number, ended: number) {
    const changes = this.log.flatMap((event) => event.kind === "evacuation" ? [event.change] : []);
    const counts = ["begun", "ended"].map((kind) => changes.filter((change) => change === kind).length);
    assert.deepEqual(counts, [begun, ended]);
});

Then(
    "a watch waits {int} ms where a version has to be in force within {word} ms",
    function(waitMs: number, boundText: string) {
        assert.equal(chooseWatchWaitMs(boundText === "never" ? undefined : Number(boundText)), waitMs);
    },
);

Then(
    "with instructions {word} ms old and evacuations to be followed within {word} ms starts are {word}",
    function(ageText: string, boundText: string, word: string) {
        const toMs = (text: string) => text === "never" ? undefined : Number(text);
        assert.equal(isFreshEnoughToStart(toMs(ageText), toMs(boundText)), word === "allowed");
    },
);
