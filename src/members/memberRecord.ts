import { z } from "zod";
import type { StoredValue } from "../platform";
import type { Member } from "./members";

/** Store key of the membership record. Watched keys share a prefix, so that one watch covers them all. */
export const membersKey = "samphirepin/followed/entries";

/** The value under `membersKey`. */
export interface MemberRecord {
    /** Increases with each write, also after the platform was restored to an older value. */
    readonly serial: number;
    readonly members: readonly Member[];
}

export const emptyRecord: MemberRecord = { serial: 0, members: [] };

const recordSchema = z.object({
    serial: z.number().int().nonnegative(),
    members: z.array(z.object({
        boot: z.string().max(128),
        instance: z.string().max(256),
        region: z.string().max(128),
        zone: z.string().max(128),
        peerUrl: z.string().max(512),
        listed: z.boolean(),
    })).max(10_000),
});

/** Parses the stored record; returns `undefined` if it is malformed or of another version. */
export function parseRecord(stored: StoredValue | undefined): MemberRecord | undefined {
    if (stored === undefined || stored.text === "") {
        return emptyRecord;
    }
    try {
        return recordSchema.safeParse(JSON.parse(stored.text)).data;
    }
    catch {
        return undefined;
    }
}
