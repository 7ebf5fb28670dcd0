import type { Peers } from "../peers";
import type { Platform } from "../platform";
import type { BucketSettings } from "./bucketSettings";
import { chooseCommitter } from "./chooseCommitter";
import type { ClaimRequest } from "./claimValue";
import {
    type BucketCommitter,
    type ClaimResult,
    createBucketCommitter,
    type LookupResult,
    type NotRunMark,
} from "./createBucketCommitter";
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

/** Durable claims of all buckets, whichever entry commits them. */
export interface Claims {
    commit(claim: ClaimRequest): Promise<ClaimResult>;
    lookup(hash: string, isFresh: boolean): Promise<LookupResult>;
    mark(mark: NotRunMark): void;
    /** Claims held in this entry's memory. */
    size(): number;
}

/** Timeout of a claim or lookup at another entry, after which this entry does it itself, in milliseconds. */
const committerTimeoutMs = 1500;

/** Sends each claim to its bucket's committer; commits it in this entry if that one does not answer. */
export function createClaims(opts: ClaimsOptions): Claims {
    const { peers, settings } = opts;
    const localCommitters = new Map<number, BucketCommitter>();

    function localCommitter(hash: string): BucketCommitter {
        const bucket = bucketOf(hash, settings.bucketCount);
        const committer = localCommitters.get(bucket) ?? createBucketCommitter(opts.platform, settings, bucket);
        localCommitters.set(bucket, committer);
        return committer;
    }

    function findCommitterBoot(hash: string): string {
        const boots = [peers.self, ...peers.connected()].map(({ boot }) => boot);
        return chooseCommitter(bucketOf(hash, settings.bucketCount), boots);
    }

    peers.onRequest(topics.claim, async (_from, body) => {
        const parsed = claimMessageSchema.safeParse(body);
        return parsed.success ? localCommitter(parsed.data.hash).commit(parsed.data) : { kind: "unavailable" };
    });
    peers.onRequest(topics.lookup, async (_from, body) => {
        const parsed = lookupMessageSchema.safeParse(body);
        return parsed.success
            ? localCommitter(parsed.data.hash).lookup(parsed.data.hash, parsed.data.isFresh)
            : { kind: "unavailable" };
    });
    peers.onMessage(topics.mark, (_from, body) => {
        const parsed = markMessageSchema.safeParse(body);
        if (parsed.success) {
            localCommitter(parsed.data.hash).mark(parsed.data);
        }
    });

    return {
        async commit(claim) {
            const boot = findCommitterBoot(claim.hash);
            if (boot !== peers.self.boot) {
                const answer = await peers.request(boot, topics.claim, claim, committerTimeoutMs);
                const result = claimResultSchema.safeParse(answer.orDefault(undefined)).data;
                if (result !== undefined && result.kind !== "unavailable") {
                    return result;
                }
            }
            return localCommitter(claim.hash).commit(claim);
        },
        async lookup(hash, isFresh) {
            const boot = findCommitterBoot(hash);
            if (boot !== peers.self.boot) {
                const answer = await peers.request(boot, topics.lookup, { hash, isFresh }, committerTimeoutMs);
                const result = lookupResultSchema.safeParse(answer.orDefault(undefined)).data;
                if (result !== undefined && result.kind !== "unavailable") {
                    return result;
                }
            }
            return localCommitter(hash).lookup(hash, isFresh);
        },
        mark(mark) {
            const boot = findCommitterBoot(mark.hash);
            if (boot === peers.self.boot || !peers.send(boot, topics.mark, mark)) {
                localCommitter(mark.hash).mark(mark);
            }
        },
        size: () => [...localCommitters.values()].reduce((sum, committer) => sum + committer.size(), 0),
    };
}
