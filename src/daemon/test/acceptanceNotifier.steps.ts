import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import { createFakeNetwork, type FakeNetwork } from "../../../standins/fakes";
import type { Scheduler } from "../../scheduler";
import type { StoreItem } from "../../store";
import { type AcceptanceNotifier, createAcceptanceNotifier } from "../createAcceptanceNotifier";

interface World {
    clock: Clock;
    network: FakeNetwork;
    notifiers: Map<string, AcceptanceNotifier>;
    given: StoreItem[];
}

Before(function(this: World) {
    this.clock = installClock();
    this.network = createFakeNetwork();
    this.notifiers = new Map();
    this.given = [];
});

After(function(this: World) {
    this.clock.uninstall();
});

async function addEntries(world: World, names: readonly string[], leader: string | undefined): Promise<void> {
    for (const boot of names) {
        const peers = world.network.connect({ boot, instance: boot, region: "r", zone: "z", peerUrl: `ws://${boot}` });
        await peers.start();
        const scheduler = { applyRecord: (item: StoreItem) => void world.given.push(item) } as Scheduler;
        const notifier = createAcceptanceNotifier({
            peers,
            leaderBoot: () => leader,
            scheduler: () => boot === leader ? scheduler : undefined,
        });
        world.notifiers.set(boot, notifier);
    }
}

Given(
    "entries {string} and {string}, of which {string} is leader",
    async function(this: World, first: string, second: string, leader: string) {
        await addEntries(this, [first, second], leader);
    },
);

Given(
    "entries {string} and {string}, of which none is leader",
    async function(this: World, first: string, second: string) {
        await addEntries(this, [first, second], undefined);
    },
);

When("{string} has stored a submission in {int} ms", async function(this: World, name: string, tookMs: number) {
    const item = { key: "samphirepin/sub/5c0e7a21d94b36f8", text: "{}", revision: 12 };
    this.notifiers.get(name)?.onStored(item, tookMs);
    await this.clock.advance(50);
});

When(
    /^"(.+)" notifies "(.+)" with (.+)$/,
    async function(this: World, from: string, to: string, body: string) {
        this.network.connect({ boot: from, instance: from, region: "r", zone: "z", peerUrl: `ws://${from}` })
            .send(to, "submissionAccepted", JSON.parse(body));
        await this.clock.advance(50);
    },
);

Then("the leader has been given {int} records", function(this: World, count: number) {
    assert.equal(this.given.length, count);
});
