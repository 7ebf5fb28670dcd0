import { createHash } from "node:crypto";

/** Number of ledgers. Stored ledgers depend on it, so a change needs a migration. */
export const shardCount = 8;

export function ledgerKey(shard: number): string {
    return `samphirepin/limits/${shard}`;
}

export function shardOf(team: string): number {
    return hash(team) % shardCount;
}

/** Chooses the boot that writes a shard's ledger, by rendezvous hashing over the boots that the caller sees. */
export function pickAllocator(shard: number, boots: readonly string[]): string | undefined {
    let best: { boot: string; score: number; } | undefined;
    for (const boot of boots) {
        const score = hash(`${shard}/${boot}`);
        if (best === undefined || score > best.score || score === best.score && boot > best.boot) {
            best = { boot, score };
        }
    }
    return best?.boot;
}

const knownHashes = new Map<string, number>();
const maxKnownHashes = 10_000;

function hash(text: string): number {
    const known = knownHashes.get(text);
    if (known !== undefined) {
        return known;
    }
    if (knownHashes.size >= maxKnownHashes) {
        knownHashes.clear();
    }
    const value = createHash("sha256").update(text).digest().readUInt32BE(0);
    knownHashes.set(text, value);
    return value;
}
