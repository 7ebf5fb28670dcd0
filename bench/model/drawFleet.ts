import { createRandom, type Random } from "../../standins/random";

/** How demand for a pool changes over time. */
export type TurnShape = "none" | "jump" | "hat";

/** A fleet and the work that it gets. */
export interface ModelFleet {
    readonly name: string;
    /** Fleets that decisions are not tuned on. */
    readonly isHeldOut: boolean;
    readonly machines: number;
    /** Cores of a machine, a power of two. */
    readonly cores: number;
    readonly pools: number;
    readonly zones: number;
    readonly racksPerZone: number;
    /** How long a machine takes to change its pool, in milliseconds. */
    readonly moveMs: number;
    /** Mean share of a machine's processors that a task takes. */
    readonly taskShare: number;
    /** Mean time of a task near its data, in milliseconds. */
    readonly taskMs: number;
    /** How many times as long a task takes away from its data. */
    readonly remoteFactor: number;
    /** Share of the submissions whose data lies on one rack. */
    readonly nearShare: number;
    readonly turns: TurnShape;
    /** Length of each pool's turn, in milliseconds. */
    readonly turnMs: number;
    /** Processors that a pool's work keeps busy in the middle of its turn, as a share of all machines'. */
    readonly peakShare: number;
    /** Client accounts; a few of them are large. */
    readonly tenants: number;
    /** What an account may have running, as a multiple of its share of the peak; 0: no limit. */
    readonly capFactor: number;
    /** Tasks that last, in each pool. */
    readonly lastingTasks: number;
    /** Tasks of one submission that last and may share a machine. */
    readonly lastingPerMachine: number;
    readonly durationMs: number;
    /** Machines that are lost for good, as a share of all, and when, in milliseconds; left out: none. */
    readonly loss?: { readonly share: number; readonly atMs: number; };
}

/** Everything between two times is equally likely on a logarithmic scale. */
function between(random: Random, least: number, most: number): number {
    return least * (most / least) ** random.real();
}

const leastMachinesPerPool = 5;

const turning = {
    isHeldOut: false,
    pools: 4,
    zones: 3,
    racksPerZone: 3,
    moveMs: 1500,
    nearShare: 0,
    remoteFactor: 2,
    tenants: 6,
    capFactor: 1.2,
    turns: "hat",
    turnMs: 8500,
    durationMs: 34_000,
} as const;

const few = { machines: 35, peakShare: 0.6, lastingTasks: 5, lastingPerMachine: 2 } as const;
const many = { machines: 246, peakShare: 0.5, lastingTasks: 48, lastingPerMachine: 4 } as const;

/** Fleets of usual sizes, whose pools take turns. */
export const usualFleets: readonly ModelFleet[] = [
    { ...turning, ...few, name: "few large machines", cores: 32, taskShare: 0.08, taskMs: 1000 },
    { ...turning, ...few, name: "few small machines", cores: 16, taskShare: 0.1, taskMs: 900 },
    { ...turning, ...many, name: "many large machines", cores: 32, taskShare: 0.12, taskMs: 800 },
    { ...turning, ...many, name: "many small machines", cores: 16, taskShare: 0.09, taskMs: 640 },
];

export interface DrawOptions {
    readonly seed: number;
    readonly count: number;
    /** Small fleets and short days only. */
    readonly isQuick: boolean;
}

/** Draws fleets of all sizes; every other one is held out. */
export function drawFleets({ seed, count, isQuick }: DrawOptions): readonly ModelFleet[] {
    const random = createRandom(seed);
    // The first numbers of neighbouring seeds are alike.
    Array.from({ length: 64 }, () => random.real());
    return Array.from({ length: count }, (_, at) => {
        const pools = Math.round(between(random, 2, isQuick ? 8 : 32));
        const turnMs = between(random, 2000, isQuick ? 12_000 : 60_000);
        const machines = Math.round(Math.max(pools * leastMachinesPerPool, between(random, 20, isQuick ? 80 : 250)));
        return {
            name: `fleet-${at + 1}`,
            isHeldOut: at % 2 === 1,
            machines,
            cores: 2 ** random.int(2, 7),
            pools,
            zones: 3,
            racksPerZone: random.int(1, 4),
            moveMs: between(random, 500, 10_000),
            taskShare: between(random, 0.03, 0.5),
            taskMs: between(random, 300, 3000),
            remoteFactor: 1 + 3 * random.real(),
            nearShare: random.pick([0, 0.3, 0.8]),
            turns: random.pick<TurnShape>(["none", "jump", "hat", "hat"]),
            turnMs,
            peakShare: 0.3 + 0.5 * random.real(),
            tenants: random.int(3, 20),
            capFactor: random.pick([0, 1.2, 2.5]),
            lastingTasks: random.int(0, Math.floor(machines / pools)),
            lastingPerMachine: random.int(1, 4),
            durationMs: isQuick ? 30_000 : 60_000,
        };
    });
}
