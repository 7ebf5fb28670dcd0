import { z } from "zod";
import type { StoredValue } from "../platform";
import type { Member } from "./members";

/** Key of the record of entries in the platform's service; followed keys share a prefix, and so one watch. */
export const membersKey = "samphirepin/followed/entries";

/** The value under `membersKey`. */
export interface MemberRecord {
    /** Grows with each write, also over a platform that went back to an older value. */
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

/** Reads the stored record; gives `undefined` where it is malformed or of another version. */
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
