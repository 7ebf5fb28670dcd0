import { z } from "zod";
import type { CommandRecord } from "../state";
import { decodeValue } from "./encodeValue";

/** Key of the log in the platform's service. */
export const logKey = "samphirepin/followed/log";

/** Size limits of the log; they must be the same at every entry. */
export interface LogBounds {
    /** Checkpoints for snapshots are taken at multiples of this revision, so that two writers make the same one. */
    readonly snapshotInterval: number;
    /** Number of records above which the log is compacted: a snapshot replaces its older records. */
    readonly maxLogRecords: number;
    /** Encoded size above which the log is compacted at this entry's current revision. */
    readonly maxLogBytes: number;
    /** Number of records that an entry keeps in memory for peers that lag; a peer that lags more gets a snapshot. */
    readonly maxKeptRecords: number;
}

export const defaultLogBounds: LogBounds = {
    snapshotInterval: 32,
    maxLogRecords: 64,
    maxLogBytes: 256 * 1024,
    maxKeptRecords: 256,
};

/** Refers to the stored snapshot of the state at the log's base. */
export interface SnapshotRef {
    readonly key: string;
    /** The snapshot's text is split across this many keys: `KEY/0`, `KEY/1` and so on. */
    readonly parts: number;
}

/** Consecutive records that follow a base revision. */
export interface LogPart {
    readonly baseRevision: number;
    /** Chained hash of the record ids up to `baseRevision`. */
    readonly baseHash: string;
    readonly records: readonly CommandRecord[];
}

/** The value under `logKey`. */
export interface LogValue extends LogPart {
    readonly version: 1;
    /** The snapshot of the base; `undefined` if the base is the empty state. */
    readonly snapshot?: SnapshotRef;
}

export const emptyLog: LogValue = { version: 1, baseRevision: 0, baseHash: "", records: [] };

const recordSchema = z.object({
    id: z.string().min(1).max(64),
    by: z.string().max(256),
    atMs: z.number(),
    reason: z.string().max(4096),
    command: z.custom<CommandRecord["command"]>((value) => typeof value === "object" && value !== undefined),
});

/** Format of records that peers send. */
export const logPartSchema = z.object({
    baseRevision: z.number().int().nonnegative(),
    baseHash: z.string().max(64),
    records: z.array(recordSchema).max(10_000),
});

const logSchema = logPartSchema.extend({
    version: z.literal(1),
    snapshot: z.object({ key: z.string().max(256), parts: z.number().int().min(1).max(64) }).optional(),
});

/** Parses a stored log; returns `undefined` if the text is malformed or of another version. */
export function parseLog(text: string): LogValue | undefined {
    return text === "" ? emptyLog : logSchema.safeParse(decodeValue(text)).data as LogValue | undefined;
}
