import { runPlanProperty } from "../../standins/fleet";
import type { Experiment } from "../experiment";

const seeds = 10_000;
const quickSeeds = 500;

/** The property that CI runs with fewer seeds. */
export const schedules: Experiment = {
    name: "schedules",
    description: "random plans and faults, judged by what workers do; aim: no seed breaks a promise",
    async run({ seed, isQuick }) {
        const count = isQuick ? quickSeeds : seeds;
        const failing: number[] = [];
        let [plans, taskStarts] = [0, 0];
        for (let at = seed; at < seed + count; at++) {
            const result = await runPlanProperty(at);
            plans += result.plans;
            taskStarts += result.taskStarts;
            if (result.violations.length > 0) {
                failing.push(at);
                process.stdout.write(`seed ${at}: ${result.violations.slice(0, 3).join("; ")}\n`);
            }
        }
        const figures = { seeds: count, failingSeeds: failing.length, confirmedPlans: plans, taskStarts };
        return [{ setting: "3 entries, 2 to 3 pools", way: "ours", figures }];
    },
};
