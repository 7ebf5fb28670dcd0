import type { CommandRecord } from "../state";
import { type Applied, applyRecord, chainHash, emptyApplied } from "./applied";
import type { LogBounds, LogPart } from "./logValue";

/**
 * What came of records or a snapshot that were offered.
 *
 * - `advanced`: the revision went forward.
 * - `nothingNew`: they end at or before this entry's revision.
 * - `behind`: they begin after it; a snapshot is needed.
 * - `diverged`: they contradict what this entry has applied; nothing was taken.
 * - `refused`: a record does not apply here, as one of a newer version; all before it was taken.
 */
export type Offer =
    | { readonly kind: "advanced"; }
    | { readonly kind: "nothingNew"; }
    | { readonly kind: "behind"; }
    | { readonly kind: "diverged"; readonly revision: number; }
    | { readonly kind: "refused"; readonly revision: number; readonly detail: string; };

/** The state of one entry with its newest records; it only moves forward. */
export interface History {
    /** `undefined` until a first value was offered. */
    applied(): Applied | undefined;
    revision(): number;
    hashAt(revision: number): string | undefined;
    /** The records after a revision; `undefined` where they are no longer kept. */
    after(revision: number): LogPart | undefined;
    /** The state at a multiple of the snapshot interval that was passed lately. */
    checkpointAt(revision: number): Applied | undefined;
    revisionOf(id: string): number | undefined;
    offerRecords(part: LogPart): Offer;
    offerSnapshot(snapshot: Applied): Offer;
}

/** The states share what did not change, so that keeping a few costs little. */
const keptCheckpoints = 4;

export function createHistory({ maxKeptRecords, snapshotInterval }: LogBounds): History {
    let applied: Applied | undefined;
    let checkpoints: Applied[] = [];
    /** Kept records follow on `tailRevision`; `hashes[0]` is the hash there. */
    let tailRevision = 0;
    let hashes: string[] = [emptyApplied.hash];
    let records: CommandRecord[] = [];

    function revision(): number {
        return applied?.state.revision ?? 0;
    }

    function hashAt(at: number): string | undefined {
        return hashes[at - tailRevision];
    }

    function take(next: Applied, record: CommandRecord): void {
        applied = next;
        hashes.push(next.hash);
        records.push(record);
        const surplus = records.length - maxKeptRecords;
        if (surplus > 0) {
            tailRevision += surplus;
            hashes = hashes.slice(surplus);
            records = records.slice(surplus);
        }
        if (next.state.revision % snapshotInterval === 0) {
            checkpoints = [...checkpoints, next].slice(-keptCheckpoints);
        }
    }

    function offerRecords(part: LogPart): Offer {
        const end = part.baseRevision + part.records.length;
        if (part.baseRevision > revision()) {
            return { kind: "behind" };
        }
        const common = Math.min(end, revision());
        const theirs = part.records.slice(0, common - part.baseRevision)
            .reduce((hash, { id }) => chainHash(hash, id), part.baseHash);
        const ours = hashAt(common);
        if (ours !== undefined && ours !== theirs) {
            return { kind: "diverged", revision: common };
        }
        const isFirst = applied === undefined;
        applied ??= emptyApplied;
        for (const record of part.records.slice(common - part.baseRevision)) {
            const next = applyRecord(applied, record);
            if (next.isLeft()) {
                const detail = next.swap().map((rejection) => rejection.detail).orDefault("");
                return { kind: "refused", revision: revision() + 1, detail };
            }
            next.ifRight((value) => take(value, record));
        }
        return isFirst || revision() > common ? { kind: "advanced" } : { kind: "nothingNew" };
    }

    function offerSnapshot(snapshot: Applied): Offer {
        const to = snapshot.state.revision;
        if (applied !== undefined && to <= revision()) {
            const known = hashAt(to);
            return known === undefined || known === snapshot.hash
                ? { kind: "nothingNew" }
                : { kind: "diverged", revision: to };
        }
        const missing = to - revision();
        if (applied !== undefined && missing <= snapshot.recentIds.length) {
            const theirs = snapshot.recentIds.slice(snapshot.recentIds.length - missing).reduce(
                chainHash,
                applied.hash,
            );
            if (theirs !== snapshot.hash) {
                return { kind: "diverged", revision: to };
            }
        }
        applied = snapshot;
        [tailRevision, hashes, records] = [to, [snapshot.hash], []];
        checkpoints = [snapshot];
        return { kind: "advanced" };
    }

    return {
        applied: () => applied,
        revision,
        hashAt,
        after(from) {
            const baseHash = hashAt(from);
            return baseHash === undefined
                ? undefined
                : { baseRevision: from, baseHash, records: records.slice(from - tailRevision) };
        },
        checkpointAt: (at) => checkpoints.find(({ state }) => state.revision === at),
        revisionOf(id) {
            const ids = applied?.recentIds ?? [];
            const at = ids.lastIndexOf(id);
            return at < 0 ? undefined : revision() - (ids.length - 1 - at);
        },
        offerRecords,
        offerSnapshot,
    };
}
