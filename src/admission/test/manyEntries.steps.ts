import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type AccountRates, createAccountRates } from "../../fairness";
import { type Admission, createAdmission, listAccountLoads, summarizeLoad } from "../index";

interface World {
    manyEntries: readonly Admission[];
    waitMs: number;
    summaryIntervalMs: number;
    weight: number;
    accepted: number;
    sentSeconds: number;
}

const account = "giza";
const pool = "stalls";

/** Time from the acceptance of a submission until the leader has read its record, in milliseconds. */
const recordLagMs = 60;

Given(
    "{int} entries with a summary each {int} ms, and a wait of {int} ms",
    function(this: World, entries: number, intervalMs: number, waitMs: number) {
        this.manyEntries = Array.from({ length: entries }, () => createAdmission(() => 0.5));
        this.summaryIntervalMs = intervalMs;
        this.waitMs = waitMs;
    },
);

function broadcast(world: World, rates: AccountRates, nowMs: number): void {
    const summary = summarizeLoad({
        token: 1,
        pools: [{
            pool,
            workCoreMs: world.waitMs * 1000,
            waitingCpuMillis: 1_000_000,
            capacityCpuMillis: 1_000_000,
            freeCpuMillis: 0,
            hasCapacityLeft: false,
        }],
        accounts: listAccountLoads([{ name: account, weight: world.weight }], rates, nowMs),
    });
    world.manyEntries.forEach((entry) => entry.receive(summary, nowMs));
}

When(
    "an account with weight {int} sends {int} times its rate for {int} s",
    function(this: World, weight: number, factor: number, seconds: number) {
        const rates = createAccountRates();
        rates.setWeights(new Map([[account, weight]]), 0);
        const rated = { name: account, weight };
        const pauseMs = 1000 / (weight * factor);
        const unread: number[] = [];
        Object.assign(this, { weight, accepted: 0, sentSeconds: seconds });
        for (let sent = 0; sent * pauseMs < seconds * 1000; sent++) {
            const nowMs = sent * pauseMs;
            while (unread[0] !== undefined && unread[0] + recordLagMs <= nowMs) {
                rates.recordAccepted(account, unread.shift() ?? 0, nowMs);
            }
            if (Math.floor(nowMs / this.summaryIntervalMs) > Math.floor((nowMs - pauseMs) / this.summaryIntervalMs)) {
                broadcast(this, rates, nowMs);
            }
            const entry = this.manyEntries[sent % this.manyEntries.length];
            const request = { account: rated, pool, isAlwaysAccepted: false, slackMs: 500 };
            if (entry?.decide(request, nowMs).kind === "accept") {
                entry.recordAccepted(rated, nowMs);
                unread.push(nowMs);
                this.accepted++;
            }
        }
    },
);

Then(
    "between {int} and {int} hundredths of its rate are accepted",
    function(this: World, least: number, most: number) {
        const share = this.accepted / (this.weight * this.sentSeconds) * 100;
        assert.ok(share >= least && share <= most, String(share));
    },
);
