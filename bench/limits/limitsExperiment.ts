import type { Experiment, ExperimentRow } from "../experiment";
import { createFixedDivision } from "./createFixedDivision";
import { type BurstOptions, measureBursts } from "./measureBursts";
import { measureSlopes } from "./measureSlopes";

const users = [
    { name: "association", processors: 4, delayMs: 1.25 },
    { name: "Krydderhuset", processors: 8, delayMs: 1.25 },
];
const spreads = [
    { name: "spread evenly", oneZonePercent: 0 },
    { name: "80% in one zone", oneZonePercent: 80 },
];
const ways: readonly { readonly name: string; readonly options: Pick<BurstOptions, "createLimits">; }[] = [
    { name: "samphirepin", options: {} },
    { name: "fixed division per entry", options: { createLimits: createFixedDivision } },
];
const sizes = [
    { teams: 6, entries: 9 },
    { teams: 50, entries: 18 },
    { teams: 400, entries: 36 },
];

export const limitsExperiment: Experiment = {
    name: "limits",
    description:
        "upper limits under rotating five-times bursts, against a fixed division; aims: stranded room under 5%, platform under 60 writes and 200 reads a second",
    async run({ seed, isQuick }) {
        const rows: ExperimentRow[] = [];
        for (const { name, ...user } of users) {
            for (const spread of spreads) {
                for (const way of ways) {
                    const { figures, curves } = await measureBursts({
                        ...user,
                        ...way.options,
                        seed,
                        seconds: isQuick ? 8 : 48,
                        oneZonePercent: spread.oneZonePercent,
                    });
                    rows.push({ setting: `${name}, ${spread.name}`, way: way.name, figures, curves });
                }
            }
        }
        for (const size of isQuick ? sizes.slice(0, 2) : sizes) {
            const figures = await measureSlopes({ ...size, seed, seconds: isQuick ? 4 : 10 });
            rows.push({ setting: `${size.teams} teams, ${size.entries} entries`, way: "samphirepin", figures });
        }
        return rows;
    },
};
