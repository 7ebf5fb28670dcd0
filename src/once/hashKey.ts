import { createHash } from "node:crypto";
import type { TaskRequest } from "../tasks";

/** 96 bits in base64url. A collision of two keys is negligibly rare and only makes a request be refused. */
const hashChars = 16;
const fingerprintChars = 8;

/** Identifies a team's idempotency key in claims and messages; the key itself is not stored on the platform. */
export function hashKey(team: string, idempotencyKey: string): string {
    return digest([team, idempotencyKey], hashChars);
}

/**
 * Fingerprint of the requested work; shows whether two requests with the same idempotency key ask for the same work.
 */
export function fingerprintRequest({ pool, size, payload }: TaskRequest): string {
    const { processors, memoryMb, accelerators } = size;
    return digest([pool, processors, memoryMb, accelerators, payload], fingerprintChars);
}

function digest(parts: readonly unknown[], chars: number): string {
    return createHash("sha256").update(JSON.stringify(parts)).digest("base64url").slice(0, chars);
}

/** Returns the bucket, from 0 to `buckets - 1`, that holds the claims of a key's hash. */
export function bucketOf(hash: string, buckets: number): number {
    return createHash("sha256").update(hash).digest().readUInt32BE(0) % buckets;
}
