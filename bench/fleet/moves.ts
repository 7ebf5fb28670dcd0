import type { Experiment, ExperimentRow } from "../experiment";
import { runPlan } from "./runPlan";

interface Setting {
    readonly name: string;
    readonly before: readonly number[];
    readonly after: readonly number[];
    readonly maxUnavailable: number;
}

const settings: readonly Setting[] = [
    { name: "association: one service grows", before: [7, 7, 7, 7, 7], after: [12, 6, 6, 6, 5], maxUnavailable: 2 },
    { name: "association: demand rotates", before: [12, 6, 6, 6, 5], after: [6, 12, 6, 5, 6], maxUnavailable: 2 },
    { name: "Krydderhuset: four desks merge", before: [7, 7, 7, 7, 7], after: [28, 0, 0, 0, 7], maxUnavailable: 2 },
    { name: "Krydderhuset: two desks merge", before: [7, 7, 7, 7, 7], after: [14, 0, 7, 7, 7], maxUnavailable: 2 },
];

const maxRunMs = 20_000;

/**
 * How many moves a change of sizes takes, and how long.
 * The bound of moves is what the growing pools lack. That of the roll-out is the longest drain of the run, or, where
 * it is more, the drains of one pool divided by its budget; with nothing for handing over and proving.
 */
export const moves: Experiment = {
    name: "moves",
    description: "moves and roll-out of new pool sizes; aim: moves within 1.1 and roll-out within 1.25 of the bounds",
    async run({ seed }) {
        const rows: ExperimentRow[] = [];
        for (const setting of settings) {
            rows.push(...await compare(setting, seed));
        }
        return rows;
    },
};

async function compare({ name, before, after, maxUnavailable }: Setting, seed: number): Promise<ExperimentRow[]> {
    const fewest = after.reduce((sum, size, at) => sum + Math.max(0, size - (before[at] ?? 0)), 0);
    const poolAt = (at: number) => `pool-${at}`;
    const pools = before.map((instances, at) => ({ name: poolAt(at), instances, maxUnavailable }));
    const sizes = { pools: after.map((instances, at) => ({ name: poolAt(at), instances, maxUnavailable })) };
    const base = {
        entries: 3,
        zones: 3,
        rebootMs: 1000,
        pools,
        timing: { tickMs: 500 },
        work: { everyMs: 200, maxRunMs, seed },
    };
    const ours = await runPlan({ ...base, intent: sizes });
    const oneByOne = await runPlan({ ...base, intent: { ...sizes, policy: { maxInFlight: 1 } } });
    const inBlocks = await runPlan({ ...base, intent: { moves: assignInBlocks(before, after) } });
    const ways = [["ours", ours], ["one instance at a time", oneByOne], [
        "assigned in blocks by name",
        inBlocks,
    ]] as const;
    return ways.map(([way, run]) => {
        const drains = [...run.drainsMs.values()];
        const sum = (all: readonly number[]) => all.reduce((total, ms) => total + ms, 0);
        const boundMs = Math.max(...drains.flat(), ...drains.map((all) => sum(all) / maxUnavailable));
        return {
            setting: name,
            way,
            figures: {
                moves: run.moves,
                fewestMoves: fewest,
                movesOfBound: Number((run.moves / fewest).toFixed(2)),
                rollOutSeconds: run.rollOutMs / 1000,
                boundSeconds: Number((boundMs / 1000).toFixed(1)),
                rollOutOfBound: Number((run.rollOutMs / boundMs).toFixed(2)),
                mostOutOfAPool: run.mostOutOfAPool,
                platformWrites: run.writes,
                violations: run.violations,
            },
        };
    });
}

/** The baseline: instances in the order of their names fill one pool after the other. */
function assignInBlocks(before: readonly number[], after: readonly number[]): { instance: string; to: string; }[] {
    const from = before.flatMap((size, at) => Array.from({ length: size }, () => at));
    const to = after.flatMap((size, at) => Array.from({ length: size }, () => at));
    return from.flatMap((pool, at) =>
        pool === to[at] ? [] : [{ instance: `worker-${String(at).padStart(3, "0")}`, to: `pool-${to[at]}` }]
    );
}
