import { pack } from "msgpackr";
import { createDispatchWorld, installClock } from "../../standins/dispatch";
import { createRandom } from "../../standins/random";
import type { Experiment, ExperimentRow } from "../experiment";

const sizes = [
    { workers: 35, pools: 5, teams: 6 },
    { workers: 360, pools: 50, teams: 50 },
    { workers: 3600, pools: 323, teams: 400 },
];
const zones = ["zone-a", "zone-b", "zone-c", "zone-d"];

export const decisionsExperiment: Experiment = {
    name: "decisions",
    description:
        "processor time for one task through the queue, its turn and its placement, by size; bytes of a report",
    async run({ seed, isQuick }) {
        const rows: ExperimentRow[] = [];
        for (const size of sizes) {
            const setting = `${size.workers} workers, ${size.pools} pools, ${size.teams} teams`;
            const tasks = isQuick ? 4000 : 20_000;
            const idle = await measureTasks(size, seed, tasks, 1);
            const full = await measureTasks(size, seed, tasks, size.teams);
            const figures = { perTaskUs: round(idle), perTaskOfAllTeamsInOnePoolUs: round(full) };
            rows.push({ setting, way: "samphirepin", figures });
        }
        const one = reportBytes(1);
        return [...rows, {
            setting: "a report to one peer",
            way: "samphirepin",
            figures: { firstRowBytes: one, furtherRowBytes: round((reportBytes(101) - one) / 100) },
        }];
    },
};

/** Sends tasks one after another in batches; the fakes' own part is the same at every size. */
async function measureTasks(
    size: typeof sizes[number],
    seed: number,
    tasks: number,
    teamsAtOnce: number,
): Promise<number> {
    const clock = installClock();
    const random = createRandom(seed);
    const perPool = Math.max(1, Math.round(size.workers / size.pools));
    const world = createDispatchWorld({
        entryZones: ["zone-a"],
        pools: Object.fromEntries(
            Array.from({ length: size.pools }, (_, at) => [`pool-${at}`, { [zones[at % zones.length]!]: perPool }]),
        ),
        teams: Array.from({ length: size.teams }, (_, at) => ({ name: `team-${at}`, weight: 1, limit: 10_000 })),
        random: () => random.int(0, 999_999) / 1_000_000,
        keepsEvents: false,
    });
    await clock.advance(150);
    const entry = world.entries[0]!;
    let usedUs = 0;
    for (let sent = 0; sent < tasks; sent += teamsAtOnce) {
        const pool = teamsAtOnce === 1 ? `pool-${random.int(0, size.pools - 1)}` : "pool-0";
        const before = process.cpuUsage();
        for (let at = 0; at < teamsAtOnce; at++) {
            const team = `team-${teamsAtOnce === 1 ? random.int(0, size.teams - 1) : at}`;
            void entry.run({ pool, team, payload: "run 1", deadlineAtMs: Date.now() + 60_000 });
        }
        await clock.advance(teamsAtOnce === 1 ? 4 : 8);
        const used = process.cpuUsage(before);
        usedUs += used.user + used.system;
    }
    clock.uninstall();
    return usedUs / tasks;
}

function reportBytes(rows: number): number {
    const list = Array.from(
        { length: rows },
        (_, at) => [`team-${at + 100}`, 3, 6, 3000, 0, 12, 24, 12_000, 0, 0, 250],
    );
    return pack({ sequence: 1000, isWhole: false, pools: { "service-1": list } }).length;
}

function round(number: number): number {
    return Math.round(number * 10) / 10;
}
