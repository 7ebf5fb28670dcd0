import { setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Cell, listPairCells, listSingleCells } from "../cells";
import { defects } from "../defects";
import { faults } from "../faults";
import { rows } from "../rows";
import { runCell } from "../runCell";
import { type CellOutcome, runOne } from "../runCells";

interface World {
    broken: Set<string>;
    outcomes: CellOutcome[];
}

setDefaultTimeout(180_000);

/** Load by load, until one shows the defect. */
const defectSeeds = [1, 2, 3];

async function runAll(cells: readonly Cell[]): Promise<CellOutcome[]> {
    const outcomes: CellOutcome[] = [];
    for (const cell of cells) {
        outcomes.push(await runOne(cell));
    }
    return outcomes;
}

function describeBad(outcomes: readonly CellOutcome[]): string[] {
    return outcomes.flatMap(({ name, violations, crash }) => [
        ...violations.map(({ promise, detail }) => `${name}: ${promise}: ${detail}`),
        ...crash === undefined ? [] : [`${name}: ${crash}`],
    ]);
}

When("the matrix runs the cell of the defect {string}", async function(this: World, name: string) {
    const defect = defects.find((each) => each.name === name);
    const row = rows.find((each) => each.name === defect?.at.row);
    const fault = faults.find((each) => each.name === defect?.at.fault);
    assert.ok(defect !== undefined && row !== undefined && fault !== undefined);
    this.broken = new Set();
    for (const seed of defectSeeds) {
        const { violations } = await runCell([{ row, fault, occurrence: 1 }], seed, defect);
        violations.forEach(({ promise }) => this.broken.add(promise));
        if (this.broken.has(defect.promise)) {
            return;
        }
    }
});

When("the matrix runs one fault at each step", async function(this: World) {
    const cells = listSingleCells(1);
    const chosen = rows.flatMap(({ name }, at) => {
        const ofRow = cells.filter((cell) => cell.name.startsWith(`${name} | `));
        return [ofRow[at % ofRow.length]!];
    });
    this.outcomes = await runAll(chosen);
});

When("the matrix runs {int} pairs of faults from seed {int}", async function(this: World, count: number, seed: number) {
    this.outcomes = await runAll(listPairCells(count, seed));
});

Then("the judge finds that {string} was broken", function(this: World, promise: string) {
    assert.ok(this.broken.has(promise), `found only: ${[...this.broken].join(", ")}`);
});

Then("every step was reached and no promise was broken", function(this: World) {
    assert.deepEqual(describeBad(this.outcomes), []);
    assert.deepEqual(this.outcomes.filter(({ struck }) => struck === 0).map(({ name }) => name), []);
});

Then("no promise was broken", function(this: World) {
    assert.deepEqual(describeBad(this.outcomes), []);
});
