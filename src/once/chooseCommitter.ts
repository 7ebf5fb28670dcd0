import { createHash } from "node:crypto";

/**
 * Chooses the entry that commits a bucket's claims, by rendezvous hashing over the boots that can be reached. Two
 * entries may choose differently for a time. Compare-and-swap keeps that safe; the only cost is write conflicts.
 */
export function chooseCommitter(bucket: number, boots: readonly string[]): string {
    const scores = boots.map((boot) => ({ boot, score: scoreOf(bucket, boot) }));
    return scores.reduce((best, candidate) => candidate.score > best.score ? candidate : best).boot;
}

function scoreOf(bucket: number, boot: string): string {
    return createHash("sha256").update(`${bucket} ${boot}`).digest("hex");
}
