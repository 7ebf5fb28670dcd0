import { z } from "zod";

/** Holder of a claim: one attempt of one boot. Each boot numbers its attempts from 1 and never reuses a number. */
export interface Holder {
    readonly boot: string;
    readonly number: number;
}

/** A claim to be made durable. */
export interface ClaimRequest extends Holder {
    readonly hash: string;
    readonly fingerprint: string;
}

/** A claim as stored in a bucket. */
export interface StoredClaim extends Holder {
    readonly fingerprint: string;
}

/**
 * `[hash, index into boots, number, fingerprint]` is a claim; `[hash]` marks that the claim's attempt ended "not run".
 */
export type ClaimRecord = readonly [string, number, number, string] | readonly [string];

/** Claims stored together in one value. */
export interface Segment {
    readonly boots: readonly string[];
    readonly records: readonly ClaimRecord[];
}

/** A sealed segment: its slot, and when it was sealed. Its claims are kept for the retention after that. */
export interface SealedSegment {
    readonly slot: number;
    readonly sealedAtMs: number;
}

/** Head of a bucket: the open segment and the list of sealed segments. */
export interface BucketHead extends Segment {
    readonly sealed: readonly SealedSegment[];
    /**
     * Revision of each slot's value when it was last sealed; fences writes of a committer that was paused meanwhile.
     */
    readonly slotRevisions: readonly number[];
}

const hashSchema = z.string().min(1).max(32);
const recordSchema = z.union([
    z.tuple([hashSchema, z.number().int().nonnegative(), z.number().int().positive(), z.string().max(16)]),
    z.tuple([hashSchema]),
]);
const segmentShape = {
    boots: z.array(z.string().min(1).max(128)).max(100_000),
    records: z.array(recordSchema).max(100_000),
};
const segmentSchema = z.object(segmentShape).refine(refersToListedBoots, "a claim refers to a boot that is not listed");
const headSchema = z.object({
    ...segmentShape,
    sealed: z.array(z.object({ slot: z.number().int().nonnegative(), sealedAtMs: z.number() })).max(10_000),
    slotRevisions: z.array(z.number().int().nonnegative()).max(10_000),
}).refine(refersToListedBoots, "a claim refers to a boot that is not listed");

export const emptyHead: BucketHead = { boots: [], records: [], sealed: [], slotRevisions: [] };

function refersToListedBoots({ boots, records }: Segment): boolean {
    return records.every((record) => record.length === 1 || record[1] < boots.length);
}

/** Returns `undefined` for a value that this version cannot parse. */
export function parseHead(text: string): BucketHead | undefined {
    return parseValue(text, headSchema);
}

/** Returns `undefined` for a value that this version cannot parse. */
export function parseSegment(text: string): Segment | undefined {
    return parseValue(text, segmentSchema);
}

function parseValue<T>(text: string, schema: z.ZodType<T>): T | undefined {
    try {
        return schema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}

/** Returns the head with claims and "not run" marks added to its open segment. */
export function extendHead(head: BucketHead, claims: readonly ClaimRequest[], marks: readonly string[]): BucketHead {
    const boots = [...head.boots];
    const records: ClaimRecord[] = [...head.records];
    for (const { hash, boot, number, fingerprint } of claims) {
        const listedAt = boots.indexOf(boot);
        const at = listedAt >= 0 ? listedAt : boots.push(boot) - 1;
        records.push([hash, at, number, fingerprint]);
    }
    marks.forEach((hash) => records.push([hash]));
    return { ...head, boots, records };
}
