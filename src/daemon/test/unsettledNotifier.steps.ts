import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Clock } from "../../../standins/dispatch";
import type { FakeNetwork } from "../../../standins/fakes";
import { createUnsettledNotifier, type UnsettledNotifier } from "../createUnsettledNotifier";

interface World {
    clock: Clock;
    network: FakeNetwork;
    unsettled: Map<string, UnsettledNotifier>;
    /** What each entry was told, by message. */
    told: Map<string, (readonly string[])[]>;
}

Given("three entries, of which {string} is leader", async function(this: World, leader: string) {
    this.unsettled = new Map();
    this.told = new Map();
    for (const boot of ["entry-1", "entry-2", "entry-3"]) {
        const peers = this.network.connect({ boot, instance: boot, region: "r", zone: "z", peerUrl: `ws://${boot}` });
        await peers.start();
        const messages: (readonly string[])[] = [];
        this.told.set(boot, messages);
        const notifier = createUnsettledNotifier({
            peers,
            leaderBoot: () => leader === "none" ? undefined : leader,
            isLeader: () => boot === leader,
            onUnsettled: (ids) => messages.push(ids),
        });
        this.unsettled.set(boot, notifier);
    }
});

When("{string} has written {string} without an answer", async function(this: World, name: string, id: string) {
    this.unsettled.get(name)?.notify([id]);
    await this.clock.advance(500);
});

When(
    "{string} has written {int} submissions one by one without an answer",
    async function(this: World, name: string, count: number) {
        for (let at = 0; at < count; at++) {
            this.unsettled.get(name)?.notify([`submission-${at}`]);
        }
        await this.clock.advance(500);
    },
);

Then("all other entries than {string} know of {string}", function(this: World, name: string, id: string) {
    for (const [boot, messages] of this.told) {
        assert.ok(boot === name || messages.flat().includes(id), boot);
    }
});

Then("the leader has sent {int} message(s) to each entry", function(this: World, count: number) {
    assert.equal(this.told.get("entry-3")?.length, count);
});
