import { createHash } from "node:crypto";
import type { TaskRequest } from "../tasks";

/** 96 bits in base64url: two keys of one fleet meet by chance about never, and would then only be refused. */
const hashChars = 16;
const fingerprintChars = 8;

/** Names a team's idempotency key in claims and messages; the key itself is not kept at the platform. */
export function hashKey(team: string, idempotencyKey: string): string {
    return digest([team, idempotencyKey], hashChars);
}

/** Tells whether two requests with one key ask for the same work. */
export function fingerprintRequest({ pool, size, payload }: TaskRequest): string {
    const { processors, memoryMb, accelerators } = size;
    return digest([pool, processors, memoryMb, accelerators, payload], fingerprintChars);
}

function digest(parts: readonly unknown[], chars: number): string {
    return createHash("sha256").update(JSON.stringify(parts)).digest("base64url").slice(0, chars);
}

/** The bucket of a key's hash. */
export function bucketOf(hash: string, buckets: number): number {
    return createHash("sha256").update(hash).digest().readUInt32BE(0) % buckets;
}
