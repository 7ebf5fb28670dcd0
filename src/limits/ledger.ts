import { z } from "zod";
import type { Units } from "./units";

/** What the ledger stores about one boot. */
export interface LedgerHolder {
    /** Number of the boot's latest release that the ledger includes. Older ones are ignored. */
    readonly releaseNumber: number;
    /** Longest lease that the boot grants to a task. */
    readonly leaseMs: number;
}

/** How one team's limit is divided. */
export interface TeamSlices {
    /**
     * Configuration revision of the limit at the last write. A writer that knows only an older one must not add to the
     * slices.
     */
    readonly limitRevision: number;
    readonly isRemoved: boolean;
    /** Slices by boot. */
    readonly slices: Readonly<Record<string, Units>>;
}

/** How the limits of one shard of teams are divided. */
export interface Ledger {
    /**
     * Newest configuration revision at which a team was dropped. A writer that knows only an older one must not add
     * anything.
     */
    readonly droppedRevision: number;
    readonly holders: Readonly<Record<string, LedgerHolder>>;
    readonly teams: Readonly<Record<string, TeamSlices>>;
}

export const emptyLedger: Ledger = { droppedRevision: 0, holders: {}, teams: {} };

const nonNegativeInt = z.number().int().nonnegative();

const valueSchema = z.object({
    version: z.literal(1),
    dropped: nonNegativeInt,
    holders: z.array(z.object({ boot: z.string(), release: nonNegativeInt, leaseMs: nonNegativeInt })),
    teams: z.record(
        z.string(),
        z.object({
            limit: nonNegativeInt,
            removed: z.boolean().optional(),
            /** Index into `holders`, tasks, thousandths of processors, memory in MB, accelerators. */
            slices: z.array(z.tuple([nonNegativeInt, nonNegativeInt, nonNegativeInt, nonNegativeInt, nonNegativeInt])),
        }),
    ),
});

/** Returns `undefined` if the value cannot be parsed. It must not be overwritten then. */
export function parseLedger(text: string): Ledger | undefined {
    const parsed = valueSchema.safeParse(parseJson(text));
    if (!parsed.success) {
        return undefined;
    }
    const { dropped, holders, teams } = parsed.data;
    return {
        droppedRevision: dropped,
        holders: Object.fromEntries(
            holders.map(({ boot, release, leaseMs }) => [boot, { releaseNumber: release, leaseMs }]),
        ),
        teams: Object.fromEntries(
            Object.entries(teams).map(([team, { limit, removed, slices }]) => [team, {
                limitRevision: limit,
                isRemoved: removed ?? false,
                slices: Object.fromEntries(
                    slices.map(([at, tasks, milliProcessors, memoryMb, accelerators]) => [
                        holders[at]?.boot ?? "",
                        { tasks, milliProcessors, memoryMb, accelerators },
                    ]),
                ),
            }]),
        ),
    };
}

/** Slices refer to holders by index, because a boot's name is longer than its slice. */
export function formatLedger(ledger: Ledger): string {
    const boots = Object.keys(ledger.holders);
    const indexes = new Map(boots.map((boot, at) => [boot, at]));
    const value: z.infer<typeof valueSchema> = {
        version: 1,
        dropped: ledger.droppedRevision,
        holders: Object.entries(ledger.holders).map(([boot, { releaseNumber, leaseMs }]) => ({
            boot,
            release: releaseNumber,
            leaseMs,
        })),
        teams: Object.fromEntries(
            Object.entries(ledger.teams).map(([team, { limitRevision, isRemoved, slices }]) => [team, {
                limit: limitRevision,
                ...isRemoved ? { removed: true } : {},
                slices: Object.entries(slices).map(([boot, units]) => [
                    indexes.get(boot) ?? boots.length,
                    units.tasks,
                    units.milliProcessors,
                    units.memoryMb,
                    units.accelerators,
                ]),
            }]),
        ),
    };
    return JSON.stringify(value);
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
