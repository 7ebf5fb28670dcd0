import type { CommandRecord } from "../state";
import { type AppliedState, applyRecord, chainHash, emptyAppliedState } from "./appliedState";
import type { LogBounds, LogPart } from "./logValue";

/**
 * Result of merging records or a snapshot into the history of this entry.
 *
 * - `advanced`: a first state is known, or the revision has increased.
 * - `nothingNew`: they end at or before this entry's revision.
 * - `behind`: the records begin after this entry's revision, so this entry needs a snapshot.
 * - `diverged`: they contradict the records that this entry has applied; nothing was applied.
 * - `refused`: this entry cannot apply a record, such as one of a newer version; all records before it were applied.
 */
export type MergeResult =
    | { readonly kind: "advanced"; }
    | { readonly kind: "nothingNew"; }
    | { readonly kind: "behind"; }
    | { readonly kind: "diverged"; readonly revision: number; }
    | { readonly kind: "refused"; readonly revision: number; readonly detail: string; };

/** The state of one entry with its newest records. Its revision never decreases. */
export interface History {
    /** `undefined` until a first log or snapshot is merged. */
    applied(): AppliedState | undefined;
    revision(): number;
    /** Chained hash at a revision; `undefined` if the records after it are no longer kept, or it is not reached. */
    hashAt(revision: number): string | undefined;
    /** The records after a revision; `undefined` if some are no longer kept, or the revision is not reached. */
    recordsAfter(revision: number): LogPart | undefined;
    /** The state at a recent multiple of the snapshot interval; `undefined` if it is not kept. */
    checkpointAt(revision: number): AppliedState | undefined;
    /** The revision of a recent record; `undefined` if its id is not among the recent ones. */
    revisionOf(id: string): number | undefined;
    /** Applies the records that follow this entry's revision, if the earlier ones match its history. */
    mergeRecords(part: LogPart): MergeResult;
    /** Replaces the state by a newer snapshot, unless its recent ids contradict this entry's history. */
    mergeSnapshot(snapshot: AppliedState): MergeResult;
}

/** States share their unchanged parts, so a few checkpoints cost little memory. */
const maxCheckpoints = 4;

export function createHistory({ maxKeptRecords, snapshotInterval }: LogBounds): History {
    let applied: AppliedState | undefined;
    let checkpoints: AppliedState[] = [];
    /** The revision before the first kept record; `hashes[0]` is its hash. */
    let keptBaseRevision = 0;
    let hashes: string[] = [emptyAppliedState.hash];
    let records: CommandRecord[] = [];

    function revision(): number {
        return applied?.state.revision ?? 0;
    }

    function hashAt(at: number): string | undefined {
        return hashes[at - keptBaseRevision];
    }

    function pushRecord(next: AppliedState, record: CommandRecord): void {
        applied = next;
        hashes.push(next.hash);
        records.push(record);
        const surplus = records.length - maxKeptRecords;
        if (surplus > 0) {
            keptBaseRevision += surplus;
            hashes = hashes.slice(surplus);
            records = records.slice(surplus);
        }
        if (next.state.revision % snapshotInterval === 0) {
            checkpoints = [...checkpoints, next].slice(-maxCheckpoints);
        }
    }

    function mergeLogPart(part: LogPart): MergeResult {
        const end = part.baseRevision + part.records.length;
        if (part.baseRevision > revision()) {
            return { kind: "behind" };
        }
        const commonRevision = Math.min(end, revision());
        const otherHash = part.records.slice(0, commonRevision - part.baseRevision)
            .reduce((hash, { id }) => chainHash(hash, id), part.baseHash);
        const ownHash = hashAt(commonRevision);
        if (ownHash !== undefined && ownHash !== otherHash) {
            return { kind: "diverged", revision: commonRevision };
        }
        const isFirstLog = applied === undefined;
        applied ??= emptyAppliedState;
        for (const record of part.records.slice(commonRevision - part.baseRevision)) {
            const next = applyRecord(applied, record);
            if (next.isLeft()) {
                const detail = next.swap().map((rejection) => rejection.detail).orDefault("");
                return { kind: "refused", revision: revision() + 1, detail };
            }
            next.ifRight((value) => pushRecord(value, record));
        }
        return isFirstLog || revision() > commonRevision ? { kind: "advanced" } : { kind: "nothingNew" };
    }

    function adoptSnapshot(snapshot: AppliedState): MergeResult {
        const toRevision = snapshot.state.revision;
        if (applied !== undefined && toRevision <= revision()) {
            const knownHash = hashAt(toRevision);
            return knownHash === undefined || knownHash === snapshot.hash
                ? { kind: "nothingNew" }
                : { kind: "diverged", revision: toRevision };
        }
        const missing = toRevision - revision();
        if (applied !== undefined && missing <= snapshot.recentIds.length) {
            const otherHash = snapshot.recentIds.slice(snapshot.recentIds.length - missing).reduce(
                chainHash,
                applied.hash,
            );
            if (otherHash !== snapshot.hash) {
                return { kind: "diverged", revision: toRevision };
            }
        }
        applied = snapshot;
        [keptBaseRevision, hashes, records] = [toRevision, [snapshot.hash], []];
        checkpoints = [snapshot];
        return { kind: "advanced" };
    }

    return {
        applied: () => applied,
        revision,
        hashAt,
        recordsAfter(from) {
            const baseHash = hashAt(from);
            return baseHash === undefined
                ? undefined
                : { baseRevision: from, baseHash, records: records.slice(from - keptBaseRevision) };
        },
        checkpointAt: (at) => checkpoints.find(({ state }) => state.revision === at),
        revisionOf(id) {
            const ids = applied?.recentIds ?? [];
            const at = ids.lastIndexOf(id);
            return at < 0 ? undefined : revision() - (ids.length - 1 - at);
        },
        mergeRecords: mergeLogPart,
        mergeSnapshot: adoptSnapshot,
    };
}
