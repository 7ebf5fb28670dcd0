import { z } from "zod";
import type { CommandRecord } from "../state";

/** Key of the log in the platform's service. */
export const logKey = "samphirepin/log";

/** Entries that the log keeps before it is cut behind a snapshot. */
export const maxLogEntries = 64;

/**
 * The value under `logKey`: the commands after `baseRevision`.
 * The state at `baseRevision` stands under its own key and never changes.
 */
export interface LogValue {
    readonly baseRevision: number;
    readonly records: readonly CommandRecord[];
}

export const emptyLog: LogValue = { baseRevision: 0, records: [] };

export function snapshotKey(revision: number, id: string): string {
    return `samphirepin/snapshot/${revision}-${id}`;
}

export const logSchema = z.object({
    baseRevision: z.number().int().nonnegative(),
    records: z.array(z.custom<CommandRecord>((value) => typeof value === "object" && value !== undefined)),
});
