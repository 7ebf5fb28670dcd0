import { setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Defect, searchSchedules } from "../../standins/schedules";

interface World {
    search: Search;
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

interface Search {
    readonly first: number;
    readonly defect: Defect;
    readonly hasEvacuations: boolean;
}

/** Whether a schedule of the range breaks a rule. A defect may break others before it breaks this one. */
async function findsBreach({ first, defect, hasEvacuations }: Search, rule: string): Promise<boolean> {
    const search = {
        first,
        count: maxSeeds,
        maxTries: 0,
        defect,
        hasEvacuations,
        hasCopies: defectsOfCopies.includes(defect),
    };
    for await (const { broken } of searchSchedules(search)) {
        if (broken.some((text) => text.startsWith(`${rule}: `))) {
            return true;
        }
    }
    return false;
}

When("schedules are searched from seed {int}, where {}", function(this: World, first: number, defect: string) {
    const plantedDefect = defects[defect];
    assert.ok(plantedDefect);
    this.search = { first, defect: plantedDefect, hasEvacuations: false };
});

When(
    "schedules with evacuations are searched from seed {int}, where no owner hears of them",
    function(this: World, first: number) {
        this.search = { first, defect: "evacuationsUnheard", hasEvacuations: true };
    },
);

Then("some schedule breaks {string}", async function(this: World, rule: string) {
    assert.ok(await findsBreach(this.search, rule));
});
