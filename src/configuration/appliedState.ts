import { createHash } from "node:crypto";
import { type Either, Left } from "purify-ts";
import { applyCommand, type CommandRecord, createEmptyState, type FleetState, type Rejection } from "../state";

/** The state after a number of records, with a hash that identifies these records and their order. */
export interface AppliedState {
    readonly state: FleetState;
    /** Chained hash of the ids of all records applied; two entries with the same hash have the same history. */
    readonly hash: string;
    /** Ids of the newest records, oldest first. After a lost response a writer finds its record by them. */
    readonly recentIds: readonly string[];
}

/** Number of ids that are kept. A writer whose response was lost can find its record until this many others follow. */
export const maxRecentIds = 512;

export const emptyAppliedState: AppliedState = { state: createEmptyState(), hash: "", recentIds: [] };

/** Hash of a history, from the hash of the history before its last record and the id of that record. */
export function chainHash(hash: string, id: string): string {
    return createHash("sha256").update(`${hash}\n${id}`).digest("hex").slice(0, 32);
}

/** Applies one record atomically; a record that this version cannot read is rejected. */
export function applyRecord(applied: AppliedState, record: CommandRecord): Either<Rejection, AppliedState> {
    try {
        return applyCommand(applied.state, record).map((state) => ({
            state,
            hash: chainHash(applied.hash, record.id),
            recentIds: [...applied.recentIds, record.id].slice(-maxRecentIds),
        }));
    }
    catch (error) {
        // A record of another version may lack a field that `applyCommand` reads. States are never modified in place,
        // so a record that fails halfway has changed nothing.
        return Left({ kind: "rejected", detail: `the record cannot be read: ${String(error)}` });
    }
}
