import type { Platform } from "../platform";
import type { CommandRecord } from "../state";
import type { Applied } from "./applied";
import type { History } from "./createHistory";
import { encodeValue } from "./encodeValue";
import type { LogBounds, LogValue, SnapshotName } from "./logValue";
import { writeSnapshot } from "./snapshot";

export interface CutLogOptions {
    readonly platform: Platform;
    readonly history: History;
    readonly bounds: LogBounds;
    readonly log: LogValue;
    /** Records of this entry that the log lacks; `undefined` where they are no longer kept. */
    readonly missing: readonly CommandRecord[] | undefined;
    readonly added: readonly CommandRecord[];
}

export interface CutLog {
    readonly next: LogValue;
    /** The snapshot that the log named before, where it names another now. */
    readonly replaced: SnapshotName | undefined;
}

/**
 * Builds the log with records added, cut behind a snapshot where it has grown long. Where the snapshot cannot be
 * written, the log stays uncut: the cut is tried again with the next record. Gives `undefined` where no log can be
 * built, as records are missing that only a snapshot could stand for.
 */
export async function cutLog(opts: CutLogOptions): Promise<CutLog | undefined> {
    const { platform, history, log, missing, added } = opts;
    const { maxLogRecords, maxLogBytes, snapshotInterval } = opts.bounds;
    const whole = missing === undefined ? undefined : { ...log, records: [...log.records, ...missing, ...added] };
    if (whole !== undefined && whole.records.length <= maxLogRecords && encodeValue(whole).length <= maxLogBytes) {
        return { next: whole, replaced: undefined };
    }
    // The newest records stay in the log: an entry whose watch skipped a few values then needs no snapshot.
    const isLong = whole !== undefined && whole.records.length > maxLogRecords;
    const target = Math.floor(history.revision() / snapshotInterval - 1) * snapshotInterval;
    const checkpoint = isLong && target > log.baseRevision ? history.checkpointAt(target) : undefined;
    const point = checkpoint ?? history.applied();
    const next = point === undefined ? undefined : await cutAt(platform, history, point, added);
    if (next === undefined) {
        return whole === undefined ? undefined : { next: whole, replaced: undefined };
    }
    return { next, replaced: log.snapshot?.key === next.snapshot?.key ? undefined : log.snapshot };
}

async function cutAt(
    platform: Platform,
    history: History,
    point: Applied,
    added: readonly CommandRecord[],
): Promise<LogValue | undefined> {
    const kept = history.after(point.state.revision);
    const snapshot = kept === undefined ? undefined : await writeSnapshot(platform, point);
    return kept === undefined || snapshot === undefined
        ? undefined
        : { version: 1, ...kept, snapshot, records: [...kept.records, ...added] };
}
