import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    type Candidate,
    chooseStandbys,
    createLeaderObservation,
    judgeLeaderLoss,
    type LeaderObservation,
    rankCandidates,
} from "../index";

interface World {
    candidates: readonly Candidate[];
    ownZone: string;
    fleetZones: number;
    heardMs: number;
    observation: LeaderObservation;
    suspension: readonly [number, number];
}

const term = { boot: "a1", token: 7 };

/** Reads words such as `a1=9`: a name, whose first letter is the zone, and a value. */
function readPairs(text: string): readonly { readonly boot: string; readonly zone: string; readonly value: string; }[] {
    return text.split(" ").filter(Boolean).map((pair) => {
        const [boot = "", value = ""] = pair.split("=");
        return { boot, zone: boot.slice(0, 1), value };
    });
}

Given("entries {string} with strengths in zones", function(this: World, text: string) {
    this.candidates = readPairs(text).map(({ boot, zone, value }) => ({
        boot,
        instance: boot,
        region: "north",
        zone,
        peerUrl: "",
        strength: Number(value),
    }));
});

Then("the standbys of {string} are {string}", function(this: World, leader: string, standbys: string) {
    assert.equal(chooseStandbys(leader, this.candidates).join(" "), standbys);
    assert.equal(chooseStandbys(leader, [...this.candidates].reverse()).join(" "), standbys);
});

Then(
    "with {string} as designated standby they campaign in the order {string}",
    function(this: World, designated: string, order: string) {
        const rankOf = (self: Candidate) =>
            rankCandidates(self, this.candidates.filter((other) => other !== self), designated).rank;
        const ranks = this.candidates.map((self) => [rankOf(self), self.boot] as const).sort();
        assert.deepEqual(ranks, order.split(" ").map((boot, rank) => [rank, boot]));
    },
);

Given("a standby in zone {string} of a fleet with {int} zones", function(this: World, zone: string, zones: number) {
    this.ownZone = zone;
    this.fleetZones = zones;
});

Then("answers {string} mean {word}", function(this: World, text: string, verdict: string) {
    const answers = readPairs(text).map(({ boot, zone, value }) => ({
        boot,
        zone,
        silentMs: value === "never" ? undefined : Number(value),
    }));
    assert.equal(judgeLeaderLoss({ ownZone: this.ownZone, answers, fleetZones: this.fleetZones }).kind, verdict);
});

Given("a standby that ticks each 25 ms and hears the leader until {int} ms", function(this: World, heardMs: number) {
    this.observation = createLeaderObservation();
    this.observation.updateLeader(term, 0);
    this.heardMs = heardMs;
});

When("it is suspended from {int} to {int} ms", function(this: World, fromMs: number, toMs: number) {
    this.suspension = [fromMs, toMs];
});

Then("at {int} ms a silence of 500 ms is {word}", function(this: World, endMs: number, state: string) {
    const [fromMs, toMs] = this.suspension;
    for (let nowMs = 0; nowMs <= endMs; nowMs += 25) {
        if (nowMs <= this.heardMs && nowMs % 100 === 0) {
            this.observation.recordHeartbeat(term, nowMs);
        }
        if (nowMs <= fromMs || nowMs >= toMs) {
            this.observation.recordTick(nowMs);
        }
    }
    const silent = this.observation.findSilentLeader(endMs, 500);
    assert.deepEqual(silent, state === "observed" ? term : undefined);
});

Then("the longest silence is {int} ms", function(this: World, longestMs: number) {
    assert.equal(this.observation.longestSilenceMs(), longestMs);
});

Then(/^at (\d+) ms it reports a silence of (.+)$/, function(this: World, nowMs: string, silence: string) {
    const silentMs = this.observation.silentMs(term.boot, Number(nowMs));
    assert.equal(silentMs === undefined ? "unknown" : `${silentMs} ms`, silence);
});

When("the leader key becomes vacant", function(this: World) {
    this.observation.updateLeader(undefined, this.heardMs);
});

Then("a heartbeat with a lower token is not acknowledged", function(this: World) {
    assert.equal(this.observation.recordHeartbeat({ boot: "b1", token: 6 }, this.heardMs), false);
    assert.equal(this.observation.silentMs("b1", this.heardMs), undefined);
});
