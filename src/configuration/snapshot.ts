import { z } from "zod";
import type { Platform } from "../platform";
import type { FleetState } from "../state";
import { type Applied, maxRecentIds } from "./applied";
import { decodeValue, encodeValue } from "./encodeValue";
import type { SnapshotName } from "./logValue";

/** Bytes of one part; the service takes values up to 1 MB. */
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

export function encodeSnapshot({ hash, recentIds, state }: Applied): string {
    return encodeValue({ version: 1, hash, recentIds, state });
}

/** Reads a snapshot's text; gives `undefined` where it is malformed or of another version. */
export function decodeSnapshot(text: string): Applied | undefined {
    const parsed = snapshotSchema.safeParse(decodeValue(text)).data;
    return parsed === undefined
        ? undefined
        : { hash: parsed.hash, recentIds: parsed.recentIds, state: parsed.state as unknown as FleetState };
}

/**
 * Writes a snapshot under keys that follow from its revision and hash, and that are never written again. Two writers
 * that make the same snapshot write the same keys, so that a writer which dies before it names its snapshot in the log
 * leaves nothing behind that nobody finds. Gives `undefined` where the platform did not take all of it.
 */
export async function writeSnapshot(platform: Platform, applied: Applied): Promise<SnapshotName | undefined> {
    const text = encodeSnapshot(applied);
    const key = `samphirepin/snapshot/${applied.state.revision}-${applied.hash}`;
    const parts = Math.max(1, Math.ceil(text.length / maxPartBytes));
    for (let part = 0; part < parts; part++) {
        const slice = text.slice(part * maxPartBytes, (part + 1) * maxPartBytes);
        const written = await platform.compareAndSwap(`${key}/${part}`, 0, slice);
        if (written.isLeft() && !(await holds(platform, `${key}/${part}`, slice))) {
            return undefined;
        }
    }
    return { key, parts };
}

/** After a conflict or a lost answer: true where the key holds this text, whoever wrote it. */
async function holds(platform: Platform, key: string, text: string): Promise<boolean> {
    const read = await platform.read(key);
    return read.orDefault(undefined)?.text === text;
}

/** Reads a snapshot; gives `undefined` where the platform does not answer, or it is missing or malformed. */
export async function readSnapshot(platform: Platform, name: SnapshotName): Promise<Applied | undefined> {
    let text = "";
    for (let part = 0; part < name.parts; part++) {
        const stored = (await platform.read(`${name.key}/${part}`)).orDefault(undefined);
        if (stored === undefined) {
            return undefined;
        }
        text += stored.text;
    }
    return decodeSnapshot(text);
}

/** Removes a snapshot that the log no longer names; what stays after a failure takes room and does no harm. */
export async function removeSnapshot(platform: Platform, name: SnapshotName): Promise<void> {
    for (let part = 0; part < name.parts; part++) {
        await platform.remove(`${name.key}/${part}`);
    }
}
