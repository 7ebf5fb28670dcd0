import type { Peers } from "../peers";
import type { Platform } from "../platform";
import type { BucketSettings } from "./bucketSettings";
import { chooseHome } from "./chooseHome";
import type { ClaimRequest } from "./claimValue";
import { type BucketHome, type ClaimResult, createBucketHome, type LookupResult, type Mark } from "./createBucketHome";
import { bucketOf } from "./hashKey";
import {
    claimMessageSchema,
    claimResultSchema,
    lookupMessageSchema,
    lookupResultSchema,
    markMessageSchema,
    topics,
} from "./messages";

export interface ClaimsOptions {
    readonly platform: Platform;
    readonly peers: Peers;
    readonly settings: BucketSettings;
}

/** Durable claims, wherever their bucket's home is. */
export interface Claims {
    commit(claim: ClaimRequest): Promise<ClaimResult>;
    lookup(hash: string, isFresh: boolean): Promise<LookupResult>;
    mark(mark: Mark): void;
    /** Claims held in this entry's memory. */
    size(): number;
}

/** How long another entry may take over a claim or a lookup before this entry does it itself, in milliseconds. */
const homeTimeoutMs = 1500;

/** Sends each claim to its bucket's home, and does the home's work where that cannot. */
export function createClaims(opts: ClaimsOptions): Claims {
    const { peers, settings } = opts;
    const homes = new Map<number, BucketHome>();

    function homeHere(hash: string): BucketHome {
        const bucket = bucketOf(hash, settings.buckets);
        const home = homes.get(bucket) ?? createBucketHome(opts.platform, settings, bucket);
        homes.set(bucket, home);
        return home;
    }

    function findHome(hash: string): string {
        const boots = [peers.self, ...peers.connected()].map(({ boot }) => boot);
        return chooseHome(bucketOf(hash, settings.buckets), boots);
    }

    peers.onRequest(topics.claim, async (_from, body) => {
        const parsed = claimMessageSchema.safeParse(body);
        return parsed.success ? homeHere(parsed.data.hash).commit(parsed.data) : { kind: "unavailable" };
    });
    peers.onRequest(topics.lookup, async (_from, body) => {
        const parsed = lookupMessageSchema.safeParse(body);
        return parsed.success
            ? homeHere(parsed.data.hash).lookup(parsed.data.hash, parsed.data.isFresh)
            : { kind: "unavailable" };
    });
    peers.onMessage(topics.mark, (_from, body) => {
        const parsed = markMessageSchema.safeParse(body);
        if (parsed.success) {
            homeHere(parsed.data.hash).mark(parsed.data);
        }
    });

    return {
        async commit(claim) {
            const boot = findHome(claim.hash);
            if (boot !== peers.self.boot) {
                const answer = await peers.request(boot, topics.claim, claim, homeTimeoutMs);
                const result = claimResultSchema.safeParse(answer.orDefault(undefined)).data;
                if (result !== undefined && result.kind !== "unavailable") {
                    return result;
                }
            }
            return homeHere(claim.hash).commit(claim);
        },
        async lookup(hash, isFresh) {
            const boot = findHome(hash);
            if (boot !== peers.self.boot) {
                const answer = await peers.request(boot, topics.lookup, { hash, isFresh }, homeTimeoutMs);
                const result = lookupResultSchema.safeParse(answer.orDefault(undefined)).data;
                if (result !== undefined && result.kind !== "unavailable") {
                    return result;
                }
            }
            return homeHere(hash).lookup(hash, isFresh);
        },
        mark(mark) {
            const boot = findHome(mark.hash);
            if (boot === peers.self.boot || !peers.send(boot, topics.mark, mark)) {
                homeHere(mark.hash).mark(mark);
            }
        },
        size: () => [...homes.values()].reduce((sum, home) => sum + home.size(), 0),
    };
}
