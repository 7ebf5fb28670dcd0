import type { Experiment, ExperimentRow } from "../experiment";
import { measureLoad, type Way } from "./measureLoad";
import { measureSlopes } from "./measureSlopes";
import { runSchedule } from "./runSchedule";

const ways: readonly Way[] = ["claim per request", "claims in groups", "tickets"];
const todayEntries = 9;

async function judgeSchedules(firstSeed: number, count: number): Promise<ExperimentRow> {
    const figures: Record<string, number> = {
        schedules: count,
        faults: 0,
        answered: 0,
        notRun: 0,
        unknown: 0,
        none: 0,
    };
    for (let seed = firstSeed; seed < firstSeed + count; seed++) {
        const { faults, outcomes } = await runSchedule(seed);
        faults.forEach((fault) => process.stdout.write(`seed ${seed}: ${fault}\n`));
        figures["faults"]! += faults.length;
        for (const [outcome, times] of Object.entries(outcomes)) {
            const name = outcome === "not run" ? "notRun" : outcome;
            figures[name] = (figures[name] ?? 0) + times;
        }
    }
    return { setting: "3 entries, random faults", way: "judged schedules", figures };
}

/** What guarding non-repeatable requests costs, and whether the guard holds. */
export const onceExperiment: Experiment = {
    name: "once",
    description:
        "claims in groups and tickets against one claim per request; aim: under 60 writes and 200 reads a second",
    async run({ seed, isQuick }) {
        const rows: ExperimentRow[] = [];
        for (const requestsPerSecond of isQuick ? [20, 100] : [1, 20, 100, 300]) {
            for (const way of ways) {
                const load = { way, entries: todayEntries, requestsPerSecond, seconds: isQuick ? 5 : 20, seed };
                const setting = `${todayEntries} entries, ${requestsPerSecond} a second`;
                rows.push({ setting, way, figures: await measureLoad(load) });
            }
        }
        rows.push(...await measureSlopes(isQuick ? [2000, 4000] : [2000, 8000, 32_000]));
        rows.push(await judgeSchedules(seed, isQuick ? 100 : 10_000));
        return rows;
    },
};
