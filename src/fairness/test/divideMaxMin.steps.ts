import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { divideMaxMin } from "../index";

interface World {
    shares: readonly number[];
}

const parseList = (text: string): readonly number[] => text.split(",").map(Number);

When(/^(-?\d+) is divided among needs of (.+)$/, function(this: World, total: string, needs: string) {
    const named = new Map(parseList(needs).map((need, at) => [`pool-${at}`, need]));
    const shares = divideMaxMin(Number(total), named);
    this.shares = [...named.keys()].map((name) => shares.get(name) ?? Number.NaN);
});

Then(/^the shares are (.+)$/, function(this: World, shares: string) {
    assert.deepEqual(this.shares, parseList(shares));
});
