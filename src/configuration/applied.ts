import { createHash } from "node:crypto";
import { type Either, Left } from "purify-ts";
import { applyCommand, type CommandRecord, createEmptyState, type FleetState, type Rejection } from "../state";

/** The state after a number of records, and what proves which records they were. */
export interface Applied {
    readonly state: FleetState;
    /** Chained hash of the ids of all records applied; two entries with the same hash have the same history. */
    readonly hash: string;
    /** Ids of the newest records, oldest first; they tell a writer after a lost answer that its record is in. */
    readonly recentIds: readonly string[];
}

/** Ids kept; a writer whose answer was lost has this many records' time to find its own. */
export const maxRecentIds = 512;

export const emptyApplied: Applied = { state: createEmptyState(), hash: "", recentIds: [] };

export function chainHash(hash: string, id: string): string {
    return createHash("sha256").update(`${hash}\n${id}`).digest("hex").slice(0, 32);
}

/** Applies one record whole or not at all; a record that this version cannot read is rejected. */
export function applyRecord(applied: Applied, record: CommandRecord): Either<Rejection, Applied> {
    try {
        return applyCommand(applied.state, record).map((state) => ({
            state,
            hash: chainHash(applied.hash, record.id),
            recentIds: [...applied.recentIds, record.id].slice(-maxRecentIds),
        }));
    }
    catch (error) {
        // A record of another version may lack a field that the reducer reads. The states are never changed in place,
        // so that nothing of it has been applied.
        return Left({ kind: "rejected", detail: `the record cannot be read: ${String(error)}` });
    }
}
