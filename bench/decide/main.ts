import { mkdirSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { prepareCheckout } from "./checkouts";
import { type Decision, decisions } from "./decisions";
import { keepPlays, type Play, playDay, playModel, readPlays, type Setting, settingName } from "./plays";
import { tabulate } from "./tabulate";

/**
 * `npm run bench -- decide --list` names decisions and their variants.
 *
 * `npm run bench -- decide NAME --work FOLDER --model 1,2` plays seeds of the model with each variant, and
 * `--bench PROGRAM --day SITE:DAY:SEED` (repeated) days of deployments, in turns. What was played is kept in the folder.
 */
export async function runDecide(args: readonly string[]): Promise<number> {
    const { values, positionals } = parseArgs({
        args: [...args],
        allowPositionals: true,
        options: {
            list: { type: "boolean", default: false },
            work: { type: "string" },
            model: { type: "string", default: "" },
            quick: { type: "boolean", default: false },
            bench: { type: "string", default: "" },
            day: { type: "string", multiple: true, default: [] },
            jobs: { type: "string", default: "3" },
        },
    });
    if (values.list) {
        process.stdout.write(decisions.map(describe).join(""));
        return 0;
    }
    const decision = decisions.find(({ name }) => name === positionals[0]);
    if (decision === undefined || values.work === undefined) {
        process.stderr.write(
            "usage: npm run bench -- decide --list | NAME --work FOLDER [--model SEEDS] [--day ...]\n",
        );
        return 2;
    }
    mkdirSync(values.work, { recursive: true });
    const file = join(values.work, `${decision.name}.jsonl`);
    const known = readPlays(file);
    const seeds = values.model.split(",").filter((text) => text !== "").map(Number);
    const work = values.work;
    const checkouts = new Map(
        decision.variants.map((variant) => [variant.name, prepareCheckout(work, decision, variant, values.bench)]),
    );
    const jobs = [
        ...seeds.flatMap((seed) => planModel(decision, checkouts, seed, values.quick, known)),
        ...values.day.map(parseSetting).flatMap((setting) =>
            planDay(decision, checkouts, values.bench, setting, known)
        ),
    ];
    await runJobs(jobs, Number(values.jobs), file);
    console.table(tabulate(decision, readPlays(file)));
    return 0;
}

type Job = () => Promise<readonly Play[]>;

function describe({ name, question, variants }: Decision): string {
    const lines = variants.map((variant) =>
        `    ${variant.name}${variant.isStanding ? " (stands)" : ""}: ${variant.summary}\n`
    );
    return `${name}: ${question}\n${lines.join("")}`;
}

function parseSetting(text: string): Setting {
    const [site = "", day = "", seed = "1"] = text.split(":");
    return { site, day, seed: Number(seed) };
}

type Checkouts = ReadonlyMap<string, string>;

function planModel(
    decision: Decision,
    checkouts: Checkouts,
    seed: number,
    isQuick: boolean,
    known: readonly Play[],
): Job[] {
    return decision.variants
        .filter(({ name }) => !known.some((play) => play.variant === name && play.setting.endsWith(`seed ${seed}`)))
        .map(({ name }) => () => playModel(checkouts.get(name) ?? "", name, seed, isQuick));
}

function planDay(
    decision: Decision,
    checkouts: Checkouts,
    bench: string,
    setting: Setting,
    known: readonly Play[],
): Job[] {
    return decision.variants
        .filter(({ name }) => !known.some((play) => play.variant === name && play.setting === settingName(setting)))
        .map(({ name }) => async () => [await playDay(bench, checkouts.get(name) ?? "", name, setting)]);
}

/** At most `most` at a time; what has been played is kept as it ends. */
async function runJobs(jobs: readonly Job[], most: number, file: string): Promise<void> {
    const left = [...jobs];
    const work = async () => {
        for (let job = left.shift(); job !== undefined; job = left.shift()) {
            try {
                keepPlays(file, await job());
            }
            catch (error) {
                // The others go on; a later call plays this one again.
                process.stderr.write(`a play failed: ${String(error)}\n`);
            }
        }
    };
    await Promise.all(Array.from({ length: most }, work));
}
