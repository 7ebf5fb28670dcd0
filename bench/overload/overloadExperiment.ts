import type { Experiment, ExperimentRow } from "../experiment";
import { measureRefusals } from "./measureRefusals";
import { bounds, simulateOverload } from "./simulateOverload";

const loads = [0.8, 1, 2, 3, 4, 5];

export const overloadExperiment: Experiment = {
    name: "overload",
    description: "goodput at up to five times the capacity; aim: within 10% of the peak, queues within their bounds",
    async run({ seed, isQuick }) {
        const durationMs = isQuick ? 6000 : 20_000;
        const results = [];
        for (const load of loads) {
            results.push({ load, ...await simulateOverload(load, seed, durationMs) });
        }
        const peak = Math.max(...results.map(({ answeredPerSecond }) => answeredPerSecond));
        const rows = results.map(({ load, ...result }): ExperimentRow => ({
            setting: `${load} times the capacity`,
            way: "samphirepin",
            figures: {
                answeredPerSecond: round(result.answeredPerSecond),
                ofThePeakPercent: round(result.answeredPerSecond / peak * 100),
                refusedPercent: round(result.refusedPercent),
                mostWaitingAtAnEntry: result.mostWaiting,
                boundPerEntry: bounds.tasks,
                startP99Ms: result.startP99Ms,
                longestWaitMs: result.longestWaitMs,
            },
        }));
        const refusalUs = round(await measureRefusals());
        return [...rows, { setting: "full queue", way: "one refusal", figures: { refusalUs } }];
    },
};

function round(number: number): number {
    return Math.round(number * 100) / 100;
}
