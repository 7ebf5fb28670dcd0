import { parseArgs } from "node:util";
import { searchSchedules } from "../standins/schedules";

const usage = `npm run schedules -- [--first SEED] [--seeds N] [--evacuations] [--copies] [--whole]

Plays N seeded schedules of faults against the scheduler, on the paused clock, and prints the shortest story of each
that breaks a promise; --whole prints it as it was, --evacuations adds evacuations of availability zones,
--copies lets standbys keep a copy of the state.
`;

/** Enough to try each part of a schedule a few times. */
const maxTries = 400;

async function main(): Promise<void> {
    const { values } = parseArgs({
        options: {
            first: { type: "string", default: "1" },
            seeds: { type: "string", default: "1" },
            copies: { type: "boolean", default: false },
            evacuations: { type: "boolean", default: false },
            whole: { type: "boolean", default: false },
            help: { type: "boolean", default: false },
        },
    });
    if (values.help) {
        process.stdout.write(usage);
        return;
    }
    let [kept, broken, starts] = [0, 0, 0];
    const search = {
        first: Number(values.first),
        count: Number(values.seeds),
        maxTries: values.whole ? 0 : maxTries,
        hasCopies: values.copies,
        hasEvacuations: values.evacuations,
    };
    for await (const result of searchSchedules(search)) {
        starts += result.starts;
        if (result.broken.length === 0) {
            kept++;
            continue;
        }
        broken++;
        process.stdout.write(`seed ${result.seed}: BROKEN\n${[...result.broken, ...result.story].join("\n")}\n`);
    }
    process.stdout.write(`${kept} passed, ${broken} failed; ${starts} starts were judged\n`);
    process.exitCode = broken === 0 ? 0 : 1;
}

void main();
