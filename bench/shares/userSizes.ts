/** The size of one of the two users today, as the brief gives it. */
export interface UserSize {
    readonly name: string;
    /** One way between availability zones, in milliseconds. */
    readonly delayMs: number;
    /** Workers of each service's pool; eight slots each. */
    readonly workersByPool: readonly number[];
    readonly teams: readonly { readonly name: string; readonly weight: number; readonly demand: number; }[];
    /** How long one service's burst lasts, in milliseconds. */
    readonly burstMs: number;
    readonly meanRunMs: number;
}

const teams = [
    { name: "large-1", weight: 2, demand: 0.38 },
    { name: "large-2", weight: 2, demand: 0.3 },
    { name: "middle", weight: 2, demand: 0.14 },
    { name: "small-1", weight: 1, demand: 0.08 },
    { name: "small-2", weight: 1, demand: 0.06 },
    { name: "small-3", weight: 1, demand: 0.04 },
];

export const userSizes: readonly UserSize[] = [
    { name: "association", delayMs: 1, workersByPool: [9, 7, 7, 6, 6], teams, burstMs: 8000, meanRunMs: 150 },
    { name: "krydderhuset", delayMs: 2, workersByPool: [8, 8, 7, 6, 6], teams, burstMs: 12_000, meanRunMs: 400 },
];

export const slotsPerWorker = 8;
export const entriesPerZone = 3;
export const zones = ["zone-a", "zone-b", "zone-c"];

/** Spreads a pool's workers over the zones. */
export function spreadOverZones(workers: number): Readonly<Record<string, number>> {
    return Object.fromEntries(
        zones.map((zone, at) => [zone, Math.floor((workers + zones.length - 1 - at) / zones.length)]),
    );
}
