import { setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Defect, searchSchedules } from "../../standins/schedules";

interface World {
    broken: readonly string[];
}

const defects: Readonly<Record<string, Defect>> = {
    "a lost look ends a worker's life": "silenceEndsLife",
    "ends are acknowledged at once": "endsAckedAtOnce",
    "stops are dropped": "stopsDropped",
    "copies are used without a catch-up": "copiesNotCaughtUp",
};

/** Defects that show only where standbys keep copies. */
const defectsOfCopies: readonly Defect[] = ["copiesNotCaughtUp"];

/** Seeds that are enough to find a planted defect. */
const maxSeeds = 60;

/** A failing schedule is played again this often to make it shorter, which takes about ten seconds. */
const maxTries = 60;

setDefaultTimeout(120_000);

async function expectKept(first: number, last: number, hasEvacuations: boolean): Promise<void> {
    let starts = 0;
    for await (const result of searchSchedules({ first, count: last - first + 1, maxTries, hasEvacuations })) {
        starts += result.starts;
        assert.deepEqual(result.broken, [], result.story.join("\n"));
    }
    assert.ok(starts > 5 * (last - first), "hardly any work was judged");
}

Then("no promise is broken with copies and seeds {int} to {int}", async (first: number, last: number) => {
    let tenures = 0;
    const search = { first, count: last - first + 1, maxTries, hasCopies: true };
    for await (const { broken, story, tenuresWithCopy } of searchSchedules(search)) {
        tenures += tenuresWithCopy;
        assert.deepEqual(broken, [], story.join("\n"));
    }
    assert.ok(tenures > (last - first) / 2, `only ${tenures} tenures began with a copy`);
});

Then("no promise is broken with seeds {int} to {int}", (first: number, last: number) => expectKept(first, last, false));

Then(
    "no promise is broken with evacuations and seeds {int} to {int}",
    (first: number, last: number) => expectKept(first, last, true),
);

async function searchBroken(first: number, defect: Defect, hasEvacuations: boolean): Promise<readonly string[]> {
    const search = {
        first,
        count: maxSeeds,
        maxTries: 0,
        defect,
        hasEvacuations,
        hasCopies: defectsOfCopies.includes(defect),
    };
    for await (const { broken } of searchSchedules(search)) {
        if (broken.length > 0) {
            return broken;
        }
    }
    return [];
}

When("schedules are searched from seed {int}, where {}", async function(this: World, first: number, defect: string) {
    const plantedDefect = defects[defect];
    assert.ok(plantedDefect);
    this.broken = await searchBroken(first, plantedDefect, false);
});

When(
    "schedules with evacuations are searched from seed {int}, where no owner hears of them",
    async function(this: World, first: number) {
        this.broken = await searchBroken(first, "evacuationsUnheard", true);
    },
);

Then("some schedule breaks {string}", function(this: World, rule: string) {
    assert.ok(this.broken.some((text) => text.startsWith(`${rule}: `)), this.broken.join("\n"));
});
