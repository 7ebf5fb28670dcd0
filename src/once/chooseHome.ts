import { createHash } from "node:crypto";

/**
 * The entry that commits a bucket's claims, by rendezvous hash over the boots that can be reached. Two entries may
 * choose differently for a while; compare-and-swap keeps that safe, it only costs conflicts.
 */
export function chooseHome(bucket: number, boots: readonly string[]): string {
    const scored = boots.map((boot) => ({ boot, score: scoreOf(bucket, boot) }));
    return scored.reduce((best, each) => each.score > best.score ? each : best).boot;
}

function scoreOf(bucket: number, boot: string): string {
    return createHash("sha256").update(`${bucket} ${boot}`).digest("hex");
}
