import { pause } from "../clock";
import type { Platform } from "../platform";
import type { BucketSettings } from "./bucketSettings";
import type { ClaimRequest, Holder } from "./claimValue";
import { createBucketStore, type WriteResult } from "./createBucketStore";

/**
 * Result of a claim.
 *
 * - `granted`: the claim is durable and belongs to the attempt that requested it.
 * - `taken`: another attempt holds the key.
 * - `unavailable`: the platform did not confirm the claim; it may still become durable later.
 * - `full`: the bucket has no capacity for another claim; nothing was written.
 */
export type ClaimResult =
    | { readonly kind: "granted"; }
    | TakenClaim
    | { readonly kind: "unavailable"; }
    | { readonly kind: "full"; };

export interface TakenClaim extends Holder {
    readonly kind: "taken";
    readonly fingerprint: string;
    readonly isNotRun: boolean;
}

/** Result of a lookup; `free` if there was no claim for the key when the bucket was last read or written. */
export type LookupResult =
    | { readonly kind: "free"; }
    | TakenClaim
    | { readonly kind: "unavailable"; };

/** Commits the claims of one bucket in batches (group commit), and looks claims up. */
export interface BucketCommitter {
    commit(claim: ClaimRequest): Promise<ClaimResult>;
    /** Records with the next write of claims that the attempt which holds the claim ended "not run". */
    mark(mark: NotRunMark): void;
    /** Looks a claim up. If none is cached, a fresh lookup reads the platform; any other may rely on a recent cache. */
    lookup(hash: string, isFresh: boolean): Promise<LookupResult>;
    /** Claims held in memory. */
    size(): number;
}

/** Names the attempt that holds a claim and ended "not run". */
export interface NotRunMark extends Holder {
    readonly hash: string;
}

interface PendingClaim {
    readonly claim: ClaimRequest;
    readonly timeoutAtMs: number;
    resolve(result: ClaimResult): void;
}

interface PendingLookup {
    readonly hash: string;
    resolve(result: LookupResult): void;
}

const lostAnswerDelayMs = 50;

/**
 * Marks wait for the next claim of their bucket. Marks beyond this many are dropped, and their claims stay unmarked.
 */
const maxPendingMarks = 1000;

export function createBucketCommitter(platform: Platform, settings: BucketSettings, bucket: number): BucketCommitter {
    const store = createBucketStore({ platform, settings, bucket });
    const claims: PendingClaim[] = [];
    const lookups: PendingLookup[] = [];
    const marks: NotRunMark[] = [];
    let isBusy = false;
    let rateLimitedUntilMs = -Infinity;
    let backoffUntilMs = -Infinity;

    function findCached(hash: string): TakenClaim | undefined {
        const found = store.index.find(hash);
        return found === undefined ? undefined : { kind: "taken", ...found.claim, isNotRun: found.isNotRun };
    }

    /** Decides a claim from the cached bucket; `undefined` if the claim has to be written. */
    function decideFromCache(claim: ClaimRequest): ClaimResult | undefined {
        const found = findCached(claim.hash);
        if (found === undefined) {
            return undefined;
        }
        const isOwn = found.boot === claim.boot && found.number === claim.number;
        return isOwn ? { kind: "granted" } : found;
    }

    function isBackingOff(): boolean {
        return Date.now() < backoffUntilMs;
    }

    function backOff(): void {
        backoffUntilMs = Date.now() + settings.platformBackoffMs;
    }

    /** Starts processing if it is idle and there is work; each round is rate-limited. */
    function startIfIdle(): void {
        if (!isBusy && claims.length + lookups.length > 0) {
            isBusy = true;
            void runRounds();
        }
    }

    async function runRounds(): Promise<void> {
        while (claims.length + lookups.length > 0) {
            await waitForRate();
            const pendingLookups = lookups.splice(0);
            const batch = claims.splice(0);
            if (pendingLookups.length > 0) {
                await answerLookups(pendingLookups);
            }
            if (batch.length > 0) {
                await commitBatch(batch);
            }
        }
        isBusy = false;
    }

    /** Limits the rate of rounds to the configured mean interval; allows `burstWrites` at once after an idle period. */
    async function waitForRate(): Promise<void> {
        const waitMs = rateLimitedUntilMs - settings.burstWrites * settings.writeIntervalMs - Date.now();
        if (waitMs > 0) {
            await pause(waitMs);
        }
        rateLimitedUntilMs = Math.max(rateLimitedUntilMs, Date.now()) + settings.writeIntervalMs;
    }

    async function answerLookups(pendingLookups: readonly PendingLookup[]): Promise<void> {
        const isRead = !isBackingOff() && await store.read();
        if (!isRead) {
            backOff();
        }
        pendingLookups.forEach(({ hash, resolve }) =>
            resolve(isRead ? findCached(hash) ?? { kind: "free" } : { kind: "unavailable" })
        );
    }

    /** Resolves the claims that the cached bucket decides, and returns the others, which have to be written. */
    function resolveDecided(batch: readonly PendingClaim[]): PendingClaim[] {
        const open: PendingClaim[] = [];
        for (const pending of batch) {
            const known = decideFromCache(pending.claim);
            if (known === undefined) {
                open.push(pending);
            }
            else {
                pending.resolve(known);
            }
        }
        return open;
    }

    async function commitBatch(batch: readonly PendingClaim[]): Promise<void> {
        if (isBackingOff()) {
            resolveAll(batch, { kind: "unavailable" });
            return;
        }
        let open: PendingClaim[] = [...batch];
        let isCacheCurrent = Number.isFinite(store.syncedAtMs());
        while (open.length > 0) {
            if (!isCacheCurrent && !(await store.read())) {
                failUnavailable(open);
                return;
            }
            open = resolveDecided(open);
            if (open.length === 0) {
                return;
            }
            const result = await writeClaims(open);
            switch (result) {
                case "written":
                case "moved":
                    isCacheCurrent = true;
                    break;
                case "lost":
                    // The write may have taken effect, or may still do so. Only another read, and another write
                    // against the same revision, shows which; until then no claim is resolved as "granted".
                    isCacheCurrent = false;
                    await pause(lostAnswerDelayMs);
                    break;
                case "unavailable":
                    failUnavailable(open);
                    return;
                case "full":
                    resolveAll(open, { kind: "full" });
                    return;
            }
            open = dropTimedOut(open);
        }
    }

    /**
     * Writes one claim for each key, with the pending marks; other claims of the same key are decided after the write.
     */
    async function writeClaims(open: readonly PendingClaim[]): Promise<WriteResult> {
        const byHash = new Map<string, ClaimRequest>();
        open.forEach(({ claim }) => byHash.has(claim.hash) || byHash.set(claim.hash, claim));
        const pendingMarks = [...marks];
        const result = await store.write(
            [...byHash.values()],
            pendingMarks.filter(isUnmarkedHolder).map(({ hash }) => hash),
        );
        if (result === "written") {
            marks.splice(0, pendingMarks.length);
        }
        return result;
    }

    /**
     * Whether the marked attempt holds its claim and is not marked yet. A mark for a claim that never became durable
     * would later be read as the mark of another attempt's claim.
     */
    function isUnmarkedHolder({ hash, boot, number }: NotRunMark): boolean {
        const found = findCached(hash);
        return found !== undefined && found.boot === boot && found.number === number && !found.isNotRun;
    }

    function failUnavailable(open: readonly PendingClaim[]): void {
        backOff();
        resolveAll(open, { kind: "unavailable" });
    }

    /** Resolves claims that have timed out undecided as "unavailable", and returns the others. */
    function dropTimedOut(open: readonly PendingClaim[]): PendingClaim[] {
        const now = Date.now();
        resolveAll(
            open.filter(({ claim, timeoutAtMs }) => now >= timeoutAtMs && decideFromCache(claim) === undefined),
            {
                kind: "unavailable",
            },
        );
        return open.filter(({ claim, timeoutAtMs }) => now < timeoutAtMs || decideFromCache(claim) !== undefined);
    }

    return {
        commit(claim) {
            const known = decideFromCache(claim);
            if (known !== undefined && Number.isFinite(store.syncedAtMs())) {
                return Promise.resolve(known);
            }
            return new Promise((resolve) => {
                claims.push({ claim, timeoutAtMs: Date.now() + settings.claimTimeoutMs, resolve });
                startIfIdle();
            });
        },
        mark(mark) {
            if (marks.length < maxPendingMarks && !marks.some(({ hash }) => hash === mark.hash)) {
                marks.push(mark);
            }
        },
        lookup(hash, isFresh) {
            const known = findCached(hash);
            if (known !== undefined) {
                return Promise.resolve(known);
            }
            if (!isFresh && Date.now() - store.syncedAtMs() < settings.lookupMaxAgeMs) {
                return Promise.resolve({ kind: "free" });
            }
            if (isBackingOff()) {
                return Promise.resolve({ kind: "unavailable" });
            }
            return new Promise((resolve) => {
                lookups.push({ hash, resolve });
                startIfIdle();
            });
        },
        size: () => store.index.size(),
    };
}

function resolveAll(pending: readonly PendingClaim[], result: ClaimResult): void {
    pending.forEach(({ resolve }) => resolve(result));
}
