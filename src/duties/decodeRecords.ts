import { z } from "zod";
import type { LeaderRecord } from "./leaderElection";
import type { Candidate } from "./rankCandidates";

const name = z.string().min(1).max(256);

const candidateSchema = z.object({
    boot: name,
    instance: name,
    region: z.string().max(256),
    zone: z.string().max(256),
    peerUrl: z.string().max(512).refine(isSocketUrl),
    strength: z.number().nonnegative(),
});

const leaderSchema = z.object({ boot: name, instance: name });

/** Decodes the record of an entry; `undefined` if it describes none that can be reached. */
export function decodeCandidate(text: string): Candidate | undefined {
    return decode(candidateSchema, text);
}

/** Decodes the record of the leader; `undefined` if it names none. */
export function decodeLeader(text: string): LeaderRecord | undefined {
    return decode(leaderSchema, text);
}

function decode<T>(schema: z.ZodType<T>, text: string): T | undefined {
    try {
        return schema.safeParse(JSON.parse(text)).data;
    }
    catch {
        // The caller logs that the value was rejected, with its key.
        return undefined;
    }
}

function isSocketUrl(text: string): boolean {
    if (!URL.canParse(text)) {
        return false;
    }
    // Opening a WebSocket throws on an address with a fragment.
    const { protocol, hash } = new URL(text);
    return /^wss?:$/.test(protocol) && hash === "";
}
