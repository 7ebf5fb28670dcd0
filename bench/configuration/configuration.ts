import type { Experiment, ExperimentRow } from "../experiment";
import { measureMesh } from "./measureMesh";
import { measureState } from "./measureState";
import { runSchedule } from "./runSchedule";

const fleetSizes = [
    { instances: 35, pools: 5, teams: 6 },
    { instances: 360, pools: 33, teams: 40 },
    { instances: 3600, pools: 323, teams: 400 },
];
const entryCounts = [9, 18, 36];
const quickSeeds = 200;
const allSeeds = 10_000;

async function runSchedules(first: number, count: number): Promise<ExperimentRow> {
    const sums = { seeds: count, broken: 0, accepted: 0, unknown: 0, snapshots: 0 };
    for (let seed = first; seed < first + count; seed++) {
        const { violations, accepted, unknown, cuts } = await runSchedule(seed);
        if (violations.length > 0) {
            process.stdout.write(`seed ${seed}: ${violations[0]}\n`);
        }
        sums.broken += violations.length > 0 ? 1 : 0;
        sums.accepted += accepted;
        sums.unknown += unknown;
        sums.snapshots += cuts;
    }
    return { setting: `schedules from seed ${first}`, way: "samphirepin", figures: sums };
}

/** Sizes of the state, the cost of links by the number of entries, and seeded schedules of faults. */
export const configuration: Experiment = {
    name: "configuration",
    description: "time to be in force, traffic and processor time by entries, state bytes; aim: no promise broken",
    async run({ seed, isQuick }) {
        const states = fleetSizes.map((size): ExperimentRow => ({
            setting: `${size.instances} workers, ${size.pools} pools, ${size.teams} teams`,
            way: "state",
            figures: measureState(size),
        }));
        const meshes: ExperimentRow[] = [];
        for (const count of entryCounts) {
            meshes.push({ setting: `${count} entries`, way: "full mesh", figures: await measureMesh(count) });
        }
        return [...states, ...meshes, await runSchedules(seed, isQuick ? quickSeeds : allSeeds)];
    },
};
