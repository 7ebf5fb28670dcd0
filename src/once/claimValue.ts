import { z } from "zod";

/** Who holds a claim: one attempt of one boot. Numbers are given by the boot, from 1 on, each once. */
export interface Holder {
    readonly boot: string;
    readonly number: number;
}

/** A claim that is to be made durable. */
export interface ClaimRequest extends Holder {
    readonly hash: string;
    readonly fingerprint: string;
}

/** A claim as it stands in a bucket. */
export interface StoredClaim extends Holder {
    readonly fingerprint: string;
}

/** `[hash, index of the boot, number, fingerprint]` is a claim; `[hash]` says that its attempt ended "not run". */
export type ClaimRecord = readonly [string, number, number, string] | readonly [string];

/** Claims that stand together in one value. */
export interface Segment {
    readonly boots: readonly string[];
    readonly records: readonly ClaimRecord[];
}

/** One sealed segment: where it lies, and until when its claims are kept. */
export interface SealedSegment {
    readonly slot: number;
    readonly sealedAtMs: number;
}

/** The head of a bucket: the open segment, and the list of the sealed ones. */
export interface BucketHead extends Segment {
    readonly sealed: readonly SealedSegment[];
    /** Revision of each slot's value as last written by a sealing; fences off a home that was paused. */
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
const segmentSchema = z.object(segmentShape).refine(namesKnownBoots, "a claim names a boot that is not listed");
const headSchema = z.object({
    ...segmentShape,
    sealed: z.array(z.object({ slot: z.number().int().nonnegative(), sealedAtMs: z.number() })).max(10_000),
    slotRevisions: z.array(z.number().int().nonnegative()).max(10_000),
}).refine(namesKnownBoots, "a claim names a boot that is not listed");

export const emptyHead: BucketHead = { boots: [], records: [], sealed: [], slotRevisions: [] };

function namesKnownBoots({ boots, records }: Segment): boolean {
    return records.every((record) => record.length === 1 || record[1] < boots.length);
}

/** Gives `undefined` for a value that this version cannot read. */
export function parseHead(text: string): BucketHead | undefined {
    return parseValue(text, headSchema);
}

/** Gives `undefined` for a value that this version cannot read. */
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

/** Adds claims and "not run" marks to the open segment. */
export function extendHead(head: BucketHead, claims: readonly ClaimRequest[], marks: readonly string[]): BucketHead {
    const boots = [...head.boots];
    const records: ClaimRecord[] = [...head.records];
    for (const { hash, boot, number, fingerprint } of claims) {
        const known = boots.indexOf(boot);
        const at = known >= 0 ? known : boots.push(boot) - 1;
        records.push([hash, at, number, fingerprint]);
    }
    marks.forEach((hash) => records.push([hash]));
    return { ...head, boots, records };
}
