import { z } from "zod";
import type { Platform } from "../platform";
import type { FleetState } from "../state";
import { type AppliedState, maxRecentIds } from "./appliedState";
import { decodeValue, encodeValue } from "./encodeValue";
import type { SnapshotRef } from "./logValue";

/** Limit of one part; the platform's service accepts values of up to 1 MB. */
const maxPartBytes = 768 * 1024;

const snapshotSchema = z.object({
    version: z.literal(1),
    hash: z.string().max(64),
    recentIds: z.array(z.string().max(64)).max(maxRecentIds),
    state: z.looseObject({
        revision: z.number().int().nonnegative(),
        pools: z.record(z.string(), z.unknown()),
        instances: z.record(z.string(), z.unknown()),
        teams: z.record(z.string(), z.unknown()),
        operators: z.record(z.string(), z.unknown()),
    }),
});

export function encodeSnapshot({ hash, recentIds, state }: AppliedState): string {
    return encodeValue({ version: 1, hash, recentIds, state });
}

/** Decodes a snapshot; returns `undefined` if the text is malformed or of another version. */
export function decodeSnapshot(text: string): AppliedState | undefined {
    const parsed = snapshotSchema.safeParse(decodeValue(text)).data;
    return parsed === undefined
        ? undefined
        : { hash: parsed.hash, recentIds: parsed.recentIds, state: parsed.state as unknown as FleetState };
}

/**
 * Writes a snapshot under keys that are derived from its revision and hash and are never overwritten. Two writers of
 * the same snapshot use the same keys. So if a writer crashes before the log refers to its snapshot, the next writer of
 * that snapshot reuses the keys and no orphan remains. Returns `undefined` if the platform did not store all parts.
 */
export async function writeSnapshot(platform: Platform, applied: AppliedState): Promise<SnapshotRef | undefined> {
    const text = encodeSnapshot(applied);
    const key = `samphirepin/snapshot/${applied.state.revision}-${applied.hash}`;
    const parts = Math.max(1, Math.ceil(text.length / maxPartBytes));
    for (let part = 0; part < parts; part++) {
        const slice = text.slice(part * maxPartBytes, (part + 1) * maxPartBytes);
        const written = await platform.compareAndSwap(`${key}/${part}`, 0, slice);
        if (written.isLeft() && !(await hasText(platform, `${key}/${part}`, slice))) {
            return undefined;
        }
    }
    return { key, parts };
}

/** After a conflict or a lost response: whether the key has this text, whoever wrote it. */
async function hasText(platform: Platform, key: string, text: string): Promise<boolean> {
    const read = await platform.read(key);
    return read.orDefault(undefined)?.text === text;
}

/** Reads a snapshot; returns `undefined` if the platform does not respond or the snapshot is missing or malformed. */
export async function readSnapshot(platform: Platform, ref: SnapshotRef): Promise<AppliedState | undefined> {
    let text = "";
    for (let part = 0; part < ref.parts; part++) {
        const stored = (await platform.read(`${ref.key}/${part}`)).orDefault(undefined);
        if (stored === undefined) {
            return undefined;
        }
        text += stored.text;
    }
    return decodeSnapshot(text);
}

/** Removes a snapshot that the log no longer refers to. Parts that remain after a failure only take up space. */
export async function removeSnapshot(platform: Platform, ref: SnapshotRef): Promise<void> {
    for (let part = 0; part < ref.parts; part++) {
        await platform.remove(`${ref.key}/${part}`);
    }
}
