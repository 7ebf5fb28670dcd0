import { existsSync } from "node:fs";
import { parseArgs } from "node:util";
import { regressionSeeds } from "./regressionSeeds";
import { runSoak, type SoakResult } from "./runSoak";
import { daemonFile } from "./startEntry";

const usage = `npm run soak -- [--seeds N] [--first SEED] [--seconds S] [--entries N] [--workers N] [--parallel N]

Plays N seeded runs, the known ones first. Needs target/samphirepin.cjs (node scripts/buildDaemon.mjs).
`;

function report(
    { seed, broken, accepted, refused, overloaded, starts, judgedRoutes, faults, folder }: SoakResult,
): void {
    const text =
        `${accepted} accepted, ${refused} refused, ${overloaded} for load, ${starts} starts, ${judgedRoutes} routes judged, ${faults.length} faults`;
    process.stdout.write(`seed ${seed}: ${broken.length === 0 ? "kept" : "BROKEN"}; ${text}\n`);
    if (broken.length > 0) {
        broken.forEach((line) => process.stdout.write(`    ${line}\n`));
        faults.forEach((line) => process.stdout.write(`        ${line}\n`));
        process.stdout.write(`    logs: ${folder}\n`);
    }
}

async function main(): Promise<void> {
    const { values } = parseArgs({
        options: {
            seeds: { type: "string", default: "8" },
            first: { type: "string" },
            seconds: { type: "string", default: "12" },
            entries: { type: "string", default: "5" },
            workers: { type: "string", default: "6" },
            parallel: { type: "string", default: "3" },
            help: { type: "boolean", default: false },
        },
    });
    if (values.help) {
        process.stdout.write(usage);
        return;
    }
    // Without the daemon no entry starts, nothing is accepted, and every seed would count as kept.
    if (!existsSync(daemonFile)) {
        process.stderr.write(`${daemonFile} does not exist; build it with: node scripts/buildDaemon.mjs\n`);
        process.exitCode = 1;
        return;
    }
    const first = Number(values.first ?? Math.floor(Date.now() / 1000) % 100_000);
    const fresh = Array.from({ length: Number(values.seeds) }, (_, at) => first + at);
    const queue = [...values.first === undefined ? regressionSeeds.map(({ seed }) => seed) : [], ...fresh];
    let [kept, broken] = [0, 0];

    async function work(): Promise<void> {
        for (let seed = queue.shift(); seed !== undefined; seed = queue.shift()) {
            const result = await runSoak({
                seed,
                faultsForMs: Number(values.seconds) * 1000,
                entries: Number(values.entries),
                workers: Number(values.workers),
            });
            report(result);
            [kept, broken] = result.broken.length === 0 ? [kept + 1, broken] : [kept, broken + 1];
        }
    }

    await Promise.all(Array.from({ length: Number(values.parallel) }, work));
    process.stdout.write(`${kept} passed, ${broken} failed\n`);
    process.exitCode = broken === 0 ? 0 : 1;
}

void main();
