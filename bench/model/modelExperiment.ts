import type { Experiment, ExperimentRow } from "../experiment";
import { drawFleets, type ModelFleet, usualFleets } from "./drawFleet";
import type { ModelResult } from "./scoreDay";
import { simulateFleet } from "./simulateFleet";

const quickFleets = 12;
const allFleets = 40;

function round(value: number): number {
    return Math.round(value * 1000) / 1000;
}

function toRow(setting: string, way: string, results: readonly ModelResult[]): ExperimentRow {
    const mean = (read: (result: ModelResult) => number) =>
        round(results.reduce((sum, result) => sum + read(result), 0) / Math.max(1, results.length));
    return {
        setting,
        way,
        figures: {
            worth: mean(({ worth }) => worth),
            earnedShare: mean(({ earnedShare }) => earnedShare),
            worstWindows: mean(({ worstWindows }) => worstWindows),
            prices: mean(({ prices }) => prices),
            machineSeconds: mean(({ machineSeconds }) => machineSeconds),
            moves: mean(({ moves }) => moves),
            busyShare: mean(({ busyShare }) => busyShare),
        },
    };
}

function describe(fleet: ModelFleet): string {
    const { machines, cores, pools, moveMs, turns, turnMs, taskShare } = fleet;
    return `${machines} x ${cores} cores, ${pools} pools, move ${Math.round(moveMs)} ms, ${turns} ${
        Math.round(turnMs / 1000)
    } s, tasks of ${taskShare.toFixed(2)}`;
}

/** Plays drawn fleets by the product's decisions; fleets that are held out have a mean of their own. */
export const modelExperiment: Experiment = {
    name: "model",
    description: "drawn fleets under the product's decisions on starts and moves, without network or clock",
    run({ seed, isQuick }) {
        const drawn = drawFleets({ seed, count: isQuick ? quickFleets : allFleets, isQuick });
        const fleets = [...usualFleets, ...drawn];
        const results = fleets.map((fleet) => ({ fleet, result: simulateFleet(fleet, seed) }));
        const part = (isHeldOut: boolean) =>
            results.filter(({ fleet }) => fleet.isHeldOut === isHeldOut).map(({ result }) => result);
        return Promise.resolve([
            ...results.map(({ fleet, result }) =>
                toRow(describe(fleet), fleet.isHeldOut ? "held out" : "tuned on", [result])
            ),
            toRow("mean", "tuned on", part(false)),
            toRow("mean", "held out", part(true)),
        ]);
    },
};
