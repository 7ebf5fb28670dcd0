import type { Experiment } from "../experiment";
import { runLimitsSchedule } from "./runLimitsSchedule";

/** The property of the tests, over many more seeds. */
export const limitsSchedulesExperiment: Experiment = {
    name: "limits-schedules",
    description: "10,000 random schedules of faults; a limit passed or room lost for good is listed by its seed",
    async run({ seed, isQuick }) {
        const count = isQuick ? 200 : 10_000;
        const sums = { schedules: 0, faults: 0, starts: 0, broken: 0 };
        for (let at = seed; at < seed + count; at++) {
            const result = await runLimitsSchedule(at);
            sums.schedules++;
            sums.faults += result.faults;
            sums.starts += result.starts;
            if (result.broken.length > 0) {
                sums.broken++;
                process.stdout.write(`seed ${at}: ${result.broken[0]}\n`);
            }
        }
        return [{ setting: "random faults", way: "samphirepin", figures: sums }];
    },
};
