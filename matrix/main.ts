import { readFileSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { type Cell, listPairCells, listSingleCells } from "./cells";
import { type CellOutcome, runCells, runOne } from "./runCells";
import { writeProofs } from "./writeProofs";

/**
 * `npm run matrix -- [--pairs N] [--seed S] [--only TEXT] [--no-write]`: runs every fault at every step, and N pairs by
 * seed, judges the ten promises after each, and writes docs/PROOFS.md.
 */

const proofsFile = "docs/PROOFS.md";

const { values } = parseArgs({
    options: {
        pairs: { type: "string", default: "0" },
        seed: { type: "string", default: "1" },
        only: { type: "string", default: "" },
        share: { type: "string" },
        "no-write": { type: "boolean", default: false },
    },
});

function listCells(): readonly Cell[] {
    const seed = Number(values.seed);
    return [...listSingleCells(seed), ...listPairCells(Number(values.pairs), seed)].filter(({ name }) =>
        name.includes(values.only)
    );
}

async function runShare(share: string): Promise<void> {
    const [mine = 0, of = 1] = share.split("/").map(Number);
    for (const [at, cell] of listCells().entries()) {
        if (at % of === mine) {
            process.send?.(await runOne(cell));
        }
    }
}

function describe({ name, violations, crash }: CellOutcome): string {
    const details = violations.map(({ promise, detail, atMs }) => `\n    ${promise}: ${detail} (${atMs} ms)`);
    return `  ${name}${details.slice(0, 3).join("")}${crash === undefined ? "" : `\n    crash: ${crash}`}`;
}

function isKnownRed(name: string): boolean {
    try {
        return readFileSync("KNOWN-RED.txt", "utf8").split("\n").some((line) => line.startsWith(`${name} | `));
    }
    catch {
        return false;
    }
}

async function main(): Promise<number> {
    if (values.share !== undefined) {
        await runShare(values.share);
        process.disconnect?.();
        return 0;
    }
    const startedAtMs = performance.now();
    const cells = listCells();
    const outcomes = await runCells(__filename, process.argv.slice(2), cells);
    const bad = outcomes.filter(({ violations, crash }) => violations.length > 0 || crash !== undefined);
    const red = bad.filter(({ name }) => isKnownRed(name));
    const notReached = outcomes.filter((outcome) => !bad.includes(outcome) && outcome.struck === 0);
    bad.forEach((outcome) => process.stdout.write(`${describe(outcome)}\n`));
    notReached.forEach(({ name }) => process.stdout.write(`  not reached: ${name}\n`));
    if (!values["no-write"] && values.only === "") {
        writeFileSync(proofsFile, writeProofs(outcomes, { seed: Number(values.seed), pairs: Number(values.pairs) }));
    }
    const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(0);
    const missing = cells.length - outcomes.length;
    process.stdout.write(
        `${outcomes.length - bad.length - notReached.length} cells passed, ${bad.length} broke a promise, `
            + `${notReached.length} not reached, ${missing} not run, ${red.length} known, in ${seconds} s\n`,
    );
    return bad.length > red.length || missing > 0 ? 1 : 0;
}

void main().then((exitCode) => {
    process.exitCode = exitCode;
});
