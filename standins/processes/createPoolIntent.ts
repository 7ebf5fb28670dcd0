import type { Fleet } from "./startFleet";

export interface PoolIntentOptions {
    readonly pool: string;
    readonly teams: readonly { readonly name: string; readonly weight?: number; readonly tasks: number; }[];
    readonly maxUnavailable?: number;
}

const slotsPerWorker = 8;

/** An intent that puts all workers of the fleet into one pool, which the teams may use. */
export function createPoolIntent(fleet: Pick<Fleet, "workers">, opts: PoolIntentOptions) {
    return {
        pools: [{ name: opts.pool, maxUnavailable: opts.maxUnavailable ?? 1 }],
        teams: opts.teams.map(({ name, weight = 1, tasks }) => ({
            name,
            weight,
            limit: { tasks, processors: 1000, memoryMb: 1_000_000, accelerators: 0 },
            pools: [opts.pool],
        })),
        instances: fleet.workers.map(({ name, url, zone }) => ({
            name,
            url,
            zone,
            region: "north",
            rack: `rack-${zone}`,
            slots: slotsPerWorker,
            capacity: { processors: 32, memoryMb: 128_000 },
            pool: opts.pool,
        })),
    };
}
