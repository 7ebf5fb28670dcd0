import { z } from "zod";
import type { CommandRecord } from "../state";
import { decodeValue } from "./encodeValue";

/** Key of the log in the platform's service. */
export const logKey = "samphirepin/followed/log";

/** How long the log may grow; the same at every entry. */
export interface LogBounds {
    /** Snapshots stand at multiples of this revision, so that two writers make the same one. */
    readonly snapshotInterval: number;
    /** Records that the log keeps before it is cut behind a snapshot. */
    readonly maxLogRecords: number;
    /** Bytes of the log above which it is cut at its end. */
    readonly maxLogBytes: number;
    /** Records that an entry keeps for peers that lag behind; older ones are served as a snapshot. */
    readonly maxKeptRecords: number;
}

export const defaultLogBounds: LogBounds = {
    snapshotInterval: 32,
    maxLogRecords: 64,
    maxLogBytes: 256 * 1024,
    maxKeptRecords: 256,
};

/** Where the state at the log's base stands; `undefined` where the base is the empty state. */
export interface SnapshotName {
    readonly key: string;
    /** The snapshot's text is divided among this many keys, `KEY/0`, `KEY/1` and so on. */
    readonly parts: number;
}

/** Records that follow on one point of the chain. */
export interface LogPart {
    readonly baseRevision: number;
    /** Chained hash of the record ids up to `baseRevision`. */
    readonly baseHash: string;
    readonly records: readonly CommandRecord[];
}

/** The value under `logKey`. */
export interface LogValue extends LogPart {
    readonly version: 1;
    readonly snapshot?: SnapshotName;
}

export const emptyLog: LogValue = { version: 1, baseRevision: 0, baseHash: "", records: [] };

const recordSchema = z.object({
    id: z.string().min(1).max(64),
    by: z.string().max(256),
    atMs: z.number(),
    reason: z.string().max(4096),
    command: z.custom<CommandRecord["command"]>((value) => typeof value === "object" && value !== undefined),
});

/** Records as peers send them. */
export const logPartSchema = z.object({
    baseRevision: z.number().int().nonnegative(),
    baseHash: z.string().max(64),
    records: z.array(recordSchema).max(10_000),
});

const logSchema = logPartSchema.extend({
    version: z.literal(1),
    snapshot: z.object({ key: z.string().max(256), parts: z.number().int().min(1).max(64) }).optional(),
});

/** Reads the text of a stored log; gives `undefined` where it is malformed or of another version. */
export function parseLog(text: string): LogValue | undefined {
    return text === "" ? emptyLog : logSchema.safeParse(decodeValue(text)).data as LogValue | undefined;
}
