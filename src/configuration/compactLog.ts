import type { Platform } from "../platform";
import type { CommandRecord } from "../state";
import type { AppliedState } from "./appliedState";
import type { History } from "./createHistory";
import { encodeValue } from "./encodeValue";
import type { LogBounds, LogValue, SnapshotRef } from "./logValue";
import { writeSnapshot } from "./snapshot";

export interface CompactLogOptions {
    readonly platform: Platform;
    readonly history: History;
    readonly bounds: LogBounds;
    readonly log: LogValue;
    /** Records of this entry that the log lacks; `undefined` if they are no longer kept. */
    readonly missing: readonly CommandRecord[] | undefined;
    /** New records to append. */
    readonly added: readonly CommandRecord[];
}

export interface CompactedLog {
    readonly next: LogValue;
    /** The snapshot that the log referred to before; `undefined` if there was none or it is still in use. */
    readonly replaced: SnapshotRef | undefined;
}

/**
 * Builds the log with the added records. A log that exceeds its limits is compacted: a snapshot replaces its older
 * records. If the snapshot cannot be written, the log is not compacted; the next append tries again. Returns
 * `undefined` if no log can be built: records are no longer kept, and the snapshot that would replace them cannot be
 * written.
 */
export async function compactLog(opts: CompactLogOptions): Promise<CompactedLog | undefined> {
    const { platform, history, log, missing, added } = opts;
    const { maxLogRecords, maxLogBytes, snapshotInterval } = opts.bounds;
    const uncompacted = missing === undefined ? undefined : { ...log, records: [...log.records, ...missing, ...added] };
    if (
        uncompacted !== undefined && uncompacted.records.length <= maxLogRecords
        && encodeValue(uncompacted).length <= maxLogBytes
    ) {
        return { next: uncompacted, replaced: undefined };
    }
    // The newest records stay in the log, so that an entry whose watch skipped a few values needs no snapshot.
    const hasTooManyRecords = uncompacted !== undefined && uncompacted.records.length > maxLogRecords;
    const targetRevision = Math.floor(history.revision() / snapshotInterval - 1) * snapshotInterval;
    const checkpoint = hasTooManyRecords && targetRevision > log.baseRevision
        ? history.checkpointAt(targetRevision)
        : undefined;
    const base = checkpoint ?? history.applied();
    const next = base === undefined ? undefined : await compactAt(platform, history, base, added);
    if (next === undefined) {
        return uncompacted === undefined ? undefined : { next: uncompacted, replaced: undefined };
    }
    return { next, replaced: log.snapshot?.key === next.snapshot?.key ? undefined : log.snapshot };
}

async function compactAt(
    platform: Platform,
    history: History,
    base: AppliedState,
    added: readonly CommandRecord[],
): Promise<LogValue | undefined> {
    const retained = history.recordsAfter(base.state.revision);
    const snapshot = retained === undefined ? undefined : await writeSnapshot(platform, base);
    return retained === undefined || snapshot === undefined
        ? undefined
        : { version: 1, ...retained, snapshot, records: [...retained.records, ...added] };
}
