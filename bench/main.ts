import { mkdirSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { runDecide } from "./decide/main";
import { drawCurves } from "./drawCurves";
import type { Experiment, ExperimentRow } from "./experiment";
import { experiments } from "./experiments";

/**
 * `npm run bench -- NAME | all | --list [--seed N] [--quick] [--out FOLDER]`: runs experiments and keeps their results.
 * `npm run bench -- decide ...`: compares ways to decide.
 */

const resultsFolder = "bench/results";

function printTable(rows: readonly ExperimentRow[]): void {
    console.table(rows.map(({ setting, way, figures }) => ({ setting, way, ...figures })));
}

async function runOne(experiment: Experiment, seed: number, isQuick: boolean, folder: string): Promise<void> {
    process.stdout.write(`${experiment.name}: ${experiment.description}\n`);
    const rows = await experiment.run({ seed, isQuick });
    printTable(rows);
    mkdirSync(folder, { recursive: true });
    const result = { experiment: experiment.name, seed, isQuick, node: process.version, rows };
    writeFileSync(`${folder}/${experiment.name}.json`, JSON.stringify(result, undefined, 2));
    if (rows.some(({ curves }) => curves !== undefined)) {
        writeFileSync(`${folder}/${experiment.name}.svg`, drawCurves(experiment.name, rows));
    }
}

async function main(): Promise<number> {
    const [first, ...rest] = process.argv.slice(2);
    if (first === "decide") {
        return runDecide(rest);
    }
    const { values, positionals } = parseArgs({
        allowPositionals: true,
        options: {
            list: { type: "boolean", default: false },
            quick: { type: "boolean", default: false },
            seed: { type: "string", default: "1" },
            out: { type: "string", default: resultsFolder },
        },
    });
    if (values.list) {
        experiments.forEach(({ name, description }) => process.stdout.write(`${name}: ${description}\n`));
        return 0;
    }
    const chosen = experiments.filter(({ name }) => positionals.includes("all") || positionals.includes(name));
    const unknown = positionals.filter((name) => name !== "all" && !experiments.some((each) => each.name === name));
    if (chosen.length === 0 || unknown.length > 0) {
        process.stderr.write(`usage: npm run bench -- NAME | all | --list [--seed N] [--quick]\n`);
        return 2;
    }
    for (const experiment of chosen) {
        await runOne(experiment, Number(values.seed), values.quick, values.out);
    }
    return 0;
}

void main().then((exitCode) => process.exit(exitCode));
