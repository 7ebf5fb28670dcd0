import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import {
    type AccountLoad,
    type Admission,
    type AdmissionDecision,
    createAdmission,
    createLoadBroadcaster,
    decodeLoadSummary,
    listAccountLoads,
    type LoadBroadcaster,
    type LoadSummary,
    type PoolBacklog,
    summarizeLoad,
} from "../index";

interface World {
    clock: Clock;
    weight: number;
    nowMs: number;
    random: number;
    token: number;
    admissions: Admission[];
    accounts: readonly AccountLoad[];
    backlogs: readonly PoolBacklog[] | undefined;
    sent: LoadSummary[];
    logged: number;
    tokenReads: number;
    broadcaster: LoadBroadcaster | undefined;
    measurementMs: number;
    measuringMs: number;
}

const pool = "stalls";
const name = "giza";

Before(function(this: World) {
    this.clock = installClock();
    this.nowMs = 50_000;
    this.random = 0;
    this.token = 7;
    this.admissions = [createAdmission(() => this.random)];
    this.accounts = [];
    this.sent = [];
    this.logged = 0;
    this.tokenReads = 0;
    this.broadcaster = undefined;
    this.measurementMs = 0;
    this.measuringMs = 0;
});

After(function(this: World) {
    this.clock.uninstall();
});

function createSummary(token: number, tokens: number | undefined, excessWaitMs: number): LoadSummary {
    return {
        token,
        pools: excessWaitMs === 0 ? [] : [{ pool, excessWaitMs }],
        accounts: tokens === undefined ? [] : [{ account: name, tokens }],
    };
}

function receiveAll(world: World, summary: LoadSummary): void {
    world.admissions.forEach((admission) => admission.receive(summary, world.nowMs));
}

/** Decides on one submission; an accepted one is counted. */
function submit(world: World, admission: Admission, slackMs: number): AdmissionDecision {
    const account = { name, weight: world.weight };
    const decision = admission.decide({ account, pool, isAlwaysAccepted: false, slackMs }, world.nowMs);
    if (decision.kind === "accept") {
        admission.recordAccepted(account, world.nowMs);
    }
    return decision;
}

function submitFirst(world: World, slackMs: number): AdmissionDecision {
    const [admission] = world.admissions;
    assert.ok(admission);
    return submit(world, admission, slackMs);
}

Given("an account with {int} submissions a second", function(this: World, weight: number) {
    this.weight = weight;
});

Given("a summary with {float} tokens and a wait of {int} ms", function(this: World, tokens: number, waitMs: number) {
    receiveAll(this, createSummary(this.token, tokens, waitMs));
});

Given("a summary without the account and a wait of {int} ms", function(this: World, waitMs: number) {
    receiveAll(this, createSummary(this.token, undefined, waitMs));
});

Given(
    "two entries with a summary of {int} tokens and a wait of {int} ms",
    function(this: World, tokens: number, waitMs: number) {
        this.admissions.push(createAdmission(() => this.random));
        receiveAll(this, createSummary(this.token, tokens, waitMs));
    },
);

Given(
    "{int} entries that accept one submission each in 100 ms, all counted by the leader",
    function(this: World, count: number) {
        this.admissions = Array.from({ length: count }, () => createAdmission(() => this.random));
        receiveAll(this, createSummary(this.token, undefined, 5000));
        for (const admission of this.admissions) {
            assert.equal(submit(this, admission, 900).kind, "accept");
        }
        this.nowMs += 100;
        receiveAll(this, createSummary(this.token, Math.max(-this.weight, this.weight + 1 - count), 5000));
    },
);

When("{int} submissions for a pool without a wait are accepted", function(this: World, count: number) {
    const account = { name, weight: this.weight };
    for (const admission of this.admissions) {
        for (let sent = 0; sent < count; sent++) {
            const request = { account, pool: "idle", isAlwaysAccepted: false, slackMs: 900 };
            assert.equal(admission.decide(request, this.nowMs).kind, "accept");
            admission.recordAccepted(account, this.nowMs);
        }
    }
});

When("the leader's next summary has {int} tokens", function(this: World, tokens: number) {
    this.nowMs += 100;
    receiveAll(this, createSummary(this.token, tokens, 5000));
});

When("a summary of an earlier leader with {int} tokens arrives", function(this: World, tokens: number) {
    receiveAll(this, createSummary(this.token - 1, tokens, 5000));
});

When("a summary of a later leader with {int} tokens arrives", function(this: World, tokens: number) {
    receiveAll(this, createSummary(this.token + 1, tokens, 5000));
});

When("{int} ms pass since the summary", function(this: World, ms: number) {
    this.nowMs += ms;
});

Then(
    /^a submission with (-?\d+) ms of slack is (accepted|refused)$/,
    function(this: World, slackMs: string, answer: string) {
        assert.equal(submitFirst(this, Number(slackMs)).kind, answer === "accepted" ? "accept" : "refuse");
    },
);

Then("the client is asked to retry after {int} to {int} ms", function(this: World, least: number, most: number) {
    const times = [0, 1].map((random) => {
        this.random = random;
        const decision = submitFirst(this, 900);
        return decision.kind === "refuse" ? Math.round(decision.retryAfterMs) : undefined;
    });
    assert.deepEqual(times, [least, most]);
});

function countAccepted(world: World, admission: Admission, count: number, slackMs: number): number {
    return Array.from({ length: count }, () => submit(world, admission, slackMs)).filter(({ kind }) =>
        kind === "accept"
    )
        .length;
}

Then(
    "{int} of {int} submissions with {int} ms of slack are accepted",
    function(this: World, accepted: number, count: number, slackMs: number) {
        const [admission] = this.admissions;
        assert.ok(admission);
        assert.equal(countAccepted(this, admission, count, slackMs), accepted);
    },
);

Then(
    "both entries together accept {int} of {int} submissions with {int} ms of slack",
    function(this: World, accepted: number, count: number, slackMs: number) {
        const counts = this.admissions.map((admission) => countAccepted(this, admission, count / 2, slackMs));
        assert.equal(counts.reduce((sum, each) => sum + each, 0), accepted);
    },
);

Then("each entry refuses a submission with {int} ms of slack", function(this: World, slackMs: number) {
    assert.ok(this.admissions.every((admission) => submit(this, admission, slackMs).kind === "refuse"));
});

Then("a summary of another form is not decoded", function() {
    const summary = createSummary(7, 1, 5000);
    assert.deepEqual(decodeLoadSummary(JSON.parse(JSON.stringify(summary))), summary);
    const others = [undefined, "", {}, { ...summary, token: "7" }, { ...summary, accounts: [{ account: name }] }];
    assert.ok(others.every((body) => decodeLoadSummary(body) === undefined));
});

Given(
    "{int} accounts, {int} of them with a bucket that is not full",
    function(this: World, count: number, partial: number) {
        const tenants = Array.from({ length: count }, (_, index) => ({ name: `account-${index}`, weight: 10 }));
        const names = new Set(tenants.slice(0, partial).map((tenant) => tenant.name));
        this.accounts = listAccountLoads(tenants, { tokens: (account) => names.has(account) ? -2.5 : 11 }, 0);
    },
);

Given("{int} accounts whose tokens are not known", function(this: World, count: number) {
    const tenants = Array.from({ length: count }, (_, index) => ({ name: `account-${index}`, weight: 10 }));
    this.accounts = listAccountLoads(tenants, { tokens: () => undefined }, 0);
});

function setBacklog(world: World, workCoreS: number, cores: number, freeCores = 0, waitingCores = 100): void {
    world.backlogs = [{
        pool,
        workCoreMs: workCoreS * 1000,
        waitingCpuMillis: waitingCores * 1000,
        capacityCpuMillis: cores * 1000,
        freeCpuMillis: freeCores * 1000,
        hasCapacityLeft: freeCores > waitingCores,
    }];
}

Given(
    "a backlog of {int} core-seconds on {int} cores",
    function(this: World, workCoreS: number, cores: number) {
        setBacklog(this, workCoreS, cores);
    },
);

Given(
    "a backlog of {int} core-seconds on {int} cores, {int} of them free with {int} cores waited for",
    function(this: World, workCoreS: number, cores: number, free: number, waiting: number) {
        setBacklog(this, workCoreS, cores, free, waiting);
    },
);

Given("no backlog", function(this: World) {
    this.backlogs = [];
});

Given("an entry that is not the leader", function(this: World) {
    this.backlogs = undefined;
});

function summarize(world: World): LoadSummary {
    return summarizeLoad({ token: world.token, pools: world.backlogs ?? [], accounts: world.accounts });
}

Then("the summary names {int} accounts and a wait of {int} ms", function(this: World, count: number, waitMs: number) {
    const { accounts, pools } = summarize(this);
    assert.deepEqual([accounts.length, pools], [count, [{ pool, excessWaitMs: waitMs }]]);
});

Then("the summary is empty", function(this: World) {
    assert.deepEqual(summarize(this), { token: this.token, pools: [], accounts: [] });
});

async function broadcastFor(world: World, ms: number): Promise<void> {
    world.broadcaster ??= createLoadBroadcaster({
        measure() {
            // The paused clock doesn't advance within a measurement; the next reading shows its duration.
            world.measuringMs = world.measurementMs;
            return world.backlogs && { token: world.token, pools: world.backlogs, ageMs: 50 };
        },
        accounts() {
            world.tokenReads++;
            return world.accounts;
        },
        broadcast: (summary) => void world.sent.push(summary),
        report: ({ kind }) => void (world.logged += kind === "load" ? 1 : 0),
        nowMs() {
            const atMs = performance.now() + world.measuringMs;
            world.measuringMs = 0;
            return atMs;
        },
    });
    world.broadcaster.start();
    await world.clock.advance(ms);
    world.broadcaster.stop();
}

Given("each measurement takes {int} ms", function(this: World, ms: number) {
    this.measurementMs = ms;
});

Then("between {int} and {int} summaries have been sent", function(this: World, least: number, most: number) {
    assert.ok(this.sent.length >= least && this.sent.length <= most, String(this.sent.length));
});

When("the leader broadcasts for {int} ms", async function(this: World, ms: number) {
    await broadcastFor(this, ms);
});

When("the backlog ends and the leader broadcasts for {int} ms", async function(this: World, ms: number) {
    this.backlogs = [];
    await broadcastFor(this, ms);
});

Then("{int} summaries have been sent", function(this: World, count: number) {
    assert.equal(this.sent.length, count);
});

Then("the wait has been logged {int} time", function(this: World, count: number) {
    assert.equal(this.logged, count);
});

Then("the tokens have been read {int} times", function(this: World, count: number) {
    assert.equal(this.tokenReads, count);
});

Then("the last summary is empty", function(this: World) {
    assert.deepEqual(this.sent.at(-1)?.pools, []);
});
