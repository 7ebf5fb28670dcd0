import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type AccountRates, createAccountRates, SubmissionClass } from "../index";

interface World {
    rates: AccountRates;
    weights: Map<string, number>;
    nowMs: number;
    classes: SubmissionClass[];
    acceptedAtMs: number[];
    later: { readonly rates: AccountRates; readonly classes: readonly SubmissionClass[]; };
}

Before(function(this: World) {
    this.rates = createAccountRates();
    this.weights = new Map();
    this.nowMs = 1_000_000;
    this.classes = [];
});

function send(world: World, account: string, count: number, intervalMs: number, skewMs = 0): void {
    world.classes = [];
    world.acceptedAtMs = [];
    for (let at = 0; at < count; at++) {
        world.nowMs += intervalMs;
        const acceptedAtMs = world.nowMs - (at % 2) * skewMs;
        world.acceptedAtMs.push(acceptedAtMs);
        world.classes.push(world.rates.recordAccepted(account, acceptedAtMs, world.nowMs));
    }
}

function setWeight(world: World, account: string, weight: number): void {
    world.weights.set(account, weight);
    world.rates.setWeights(world.weights, world.nowMs);
}

const countExcess = ({ classes }: World) => classes.filter((each) => each === SubmissionClass.excess).length;

Given("account {string} with weight {int}", function(this: World, account: string, weight: number) {
    setWeight(this, account, weight);
});

When("account {string} has weight {int} from now on", function(this: World, account: string, weight: number) {
    setWeight(this, account, weight);
});

When("account {string} is removed", function(this: World, account: string) {
    this.weights.delete(account);
    this.rates.setWeights(this.weights, this.nowMs);
});

When(
    "{string} sends {int} submissions at {int} per second",
    function(this: World, account: string, count: number, perSecond: number) {
        send(this, account, count, 1000 / perSecond);
    },
);

When("{string} sends {int} submissions at once", function(this: World, account: string, count: number) {
    send(this, account, count, 0);
});

When(
    "{string} sends {int} submissions at {int} per second through entries with clocks {int} ms apart",
    function(this: World, account: string, count: number, perSecond: number, skewMs: number) {
        send(this, account, count, 1000 / perSecond, skewMs);
    },
);

When(
    "a submission of {string} comes from an entry that is {int} ms ahead",
    function(this: World, account: string, aheadMs: number) {
        this.rates.recordAccepted(account, this.nowMs + aheadMs, this.nowMs);
    },
);

When("the leader's clock is set back by {int} ms", function(this: World, ms: number) {
    this.nowMs -= ms;
    this.rates.tokens("giza", this.nowMs);
});

When("{int} ms pass", function(this: World, ms: number) {
    this.nowMs += ms;
});

When("the same submissions are replayed by a new leader", function(this: World) {
    const rates = createAccountRates();
    rates.setWeights(this.weights, this.nowMs);
    const classes = this.acceptedAtMs.map((atMs) => rates.recordAccepted("giza", atMs, this.nowMs));
    this.later = { rates, classes };
});

Then("{int} of them is/are excess", function(this: World, count: number) {
    assert.equal(countExcess(this), count);
});

Then("between {int} and {int} of them are excess", function(this: World, least: number, most: number) {
    const count = countExcess(this);
    assert.ok(count >= least && count <= most, String(count));
});

Then("{string} has {float} tokens {int} ms later", function(this: World, account: string, tokens: number, ms: number) {
    assert.ok(Math.abs(this.rates.tokens(account, this.nowMs + ms) - tokens) < 1e-6);
});

Then(
    "{string} has less than {int} tokens {int} ms later",
    function(this: World, account: string, tokens: number, ms: number) {
        assert.ok(this.rates.tokens(account, this.nowMs + ms) < tokens);
    },
);

Then("the new leader classifies them alike", function(this: World) {
    assert.deepEqual(this.later.classes, this.classes);
});

Then("both leaders read the same tokens for {string}", function(this: World, account: string) {
    assert.equal(this.later.rates.tokens(account, this.nowMs), this.rates.tokens(account, this.nowMs));
});
