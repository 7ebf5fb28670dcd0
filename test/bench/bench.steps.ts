import { Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { compare, type Difference } from "../../bench/decide/compare";
import { decisions, patchFile } from "../../bench/decide/decisions";
import { parseFigures } from "../../bench/decide/plays";
import { type DifferenceRow, tabulate } from "../../bench/decide/tabulate";
import { type ModelFleet, usualFleets } from "../../bench/model/drawFleet";
import type { ModelResult } from "../../bench/model/scoreDay";
import { simulateFleet } from "../../bench/model/simulateFleet";

setDefaultTimeout(60_000);

interface World {
    figures: Readonly<Record<string, number>>;
    difference: Difference;
    rows: readonly DifferenceRow[];
    fleet: ModelFleet;
    results: readonly ModelResult[];
}

const report = `day                  own/srv  score  worth served refused failed  weakest part
a-day                 36/350   0.75  0.384  0.904   0.004  0.029  worst class 0.56; prices 0.379

worth 0.384 = whole day 0.904 (weight 0.28), worst windows 0.657 (weight 0.4), worst class 0.560 (weight 0.12) less prices
  -0.0230  2415.6 machine-seconds
  --0.0000  -0.0 seconds of servers ordered
  -0.0421  1669.0 machines moved

AVAIL 2: a stop ended a task while others of its step were away
`;

Given("the report of a day", function(this: World) {
    this.figures = parseFigures(report);
});

Then("its worth is {float} and its worst windows are {float}", function(this: World, worth: number, windows: number) {
    assert.deepEqual([this.figures["worth"], this.figures["worst windows"]], [worth, windows]);
});

Then("its price of {string} is {float}", function(this: World, name: string, price: number) {
    assert.equal(this.figures[`price: ${name}`], price);
    assert.equal(this.figures["price: seconds of servers ordered"], undefined);
});

Then("its broken rule {string} counts {int}", function(this: World, rule: string, count: number) {
    assert.equal(this.figures[`broken: ${rule}`], count);
});

Given("pairs that differ by {string}", function(this: World, text: string) {
    const standing = 0.4;
    this.difference = compare(
        text.split(",").map((each) => ({ setting: each, standing, other: standing + Number(each) })),
    );
});

Then("the mean difference is {float}", function(this: World, expected: number) {
    assert.ok(Math.abs(this.difference.mean - expected) < 1e-9);
});

Then("the interval leaves zero out", function(this: World) {
    assert.ok(this.difference.least > 0);
});

Then("the interval holds zero", function(this: World) {
    assert.ok(this.difference.least < 0 && this.difference.most > 0);
});

Given(
    "a day that the way that stands plays without a broken rule, and the other with {string} {int} times",
    function(this: World, rule: string, times: number) {
        const decision = {
            name: "order",
            question: "",
            variants: [
                { name: "first", summary: "", isStanding: true },
                { name: "second", summary: "", isStanding: false },
            ],
        };
        this.rows = tabulate(decision, [
            { setting: "site day 1", variant: "first", figures: { worth: 0.4 } },
            { setting: "site day 1", variant: "second", figures: { worth: 0.5, [`broken: ${rule}`]: times } },
        ]);
    },
);

Then("the table has {float} more of {string} for the other", function(this: World, count: number, part: string) {
    const row = this.rows.find((each) => each.part === part);
    assert.equal(row?.difference, count.toFixed(4));
});

Then("the patch of every variant applies", function() {
    for (const decision of decisions) {
        for (const variant of decision.variants.filter(({ isStanding }) => !isStanding)) {
            execFileSync("git", ["apply", "--check", patchFile(decision, variant)], { stdio: "pipe" });
        }
    }
});

Given("a small fleet", function(this: World) {
    const [few] = usualFleets;
    assert.ok(few);
    this.fleet = { ...few, durationMs: 12_000, turnMs: 3000 };
});

When("it is played twice with one seed", function(this: World) {
    this.results = [simulateFleet(this.fleet, 1), simulateFleet(this.fleet, 1)];
});

Then("both days come to the same", function(this: World) {
    assert.deepEqual(this.results[0], this.results[1]);
});

Then("what is earned and used lies within what there is", function(this: World) {
    const [result] = this.results;
    assert.ok(result !== undefined && result.earnedShare > 0 && result.earnedShare <= 1 && result.busyShare <= 1);
});

When("it is played with machines that move in {int} ms and in {int} ms", function(
    this: World,
    sooner: number,
    later: number,
) {
    this.results = [sooner, later].map((moveMs) => simulateFleet({ ...this.fleet, moveMs }, 1));
});

Then("the fleet that moves sooner earns more", function(this: World) {
    const [sooner, later] = this.results;
    assert.ok(sooner !== undefined && later !== undefined && sooner.earnedShare > later.earnedShare);
});
