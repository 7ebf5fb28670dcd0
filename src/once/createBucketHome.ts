import { pause } from "../clock";
import type { Platform } from "../platform";
import type { BucketSettings } from "./bucketSettings";
import type { ClaimRequest, Holder } from "./claimValue";
import { createBucketStore, type WriteResult } from "./createBucketStore";

/**
 * What became of a claim.
 *
 * - `granted`: the claim is durable and this holder's.
 * - `taken`: another attempt holds the key.
 * - `unavailable`: the platform stayed silent; the claim may become durable later.
 * - `full`: the bucket has no room for another claim; nothing was written.
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

/** What is known of a key; `free` where no claim stood when it was looked up. */
export type LookupResult =
    | { readonly kind: "free"; }
    | TakenClaim
    | { readonly kind: "unavailable"; };

/** Commits claims of one bucket in groups, and looks claims up. */
export interface BucketHome {
    commit(claim: ClaimRequest): Promise<ClaimResult>;
    /** Records in the next write that the attempt which held the claim ended "not run". */
    mark(mark: Mark): void;
    /** A fresh lookup reads the platform after it was asked for; another may use what was seen lately. */
    lookup(hash: string, isFresh: boolean): Promise<LookupResult>;
    /** Claims held in memory. */
    size(): number;
}

/** The attempt that held a claim and ended "not run". */
export interface Mark extends Holder {
    readonly hash: string;
}

interface PendingClaim {
    readonly claim: ClaimRequest;
    readonly endAtMs: number;
    resolve(result: ClaimResult): void;
}

interface PendingLookup {
    readonly hash: string;
    resolve(result: LookupResult): void;
}

const lostAnswerPauseMs = 50;

/** Marks wait for the next claim of their bucket; those beyond this many are dropped, and the claim stays unmarked. */
const maxWaitingMarks = 1000;

export function createBucketHome(platform: Platform, settings: BucketSettings, bucket: number): BucketHome {
    const store = createBucketStore({ platform, settings, bucket });
    const claims: PendingClaim[] = [];
    const lookups: PendingLookup[] = [];
    const marks: Mark[] = [];
    let isBusy = false;
    let pacedUntilMs = -Infinity;
    let pausedUntilMs = -Infinity;

    function find(hash: string): TakenClaim | undefined {
        const found = store.index.find(hash);
        return found === undefined ? undefined : { kind: "taken", ...found.claim, isNotRun: found.isNotRun };
    }

    /** Decides on what is known; `undefined` where the claim has to be written. */
    function decide(claim: ClaimRequest): ClaimResult | undefined {
        const found = find(claim.hash);
        if (found === undefined) {
            return undefined;
        }
        const isOwn = found.boot === claim.boot && found.number === claim.number;
        return isOwn ? { kind: "granted" } : found;
    }

    function isPaused(): boolean {
        return Date.now() < pausedUntilMs;
    }

    function holdOff(): void {
        pausedUntilMs = Date.now() + settings.platformPauseMs;
    }

    /** Starts a round at once when idle, or when the least time between calls is over. */
    function wake(): void {
        if (!isBusy && claims.length + lookups.length > 0) {
            isBusy = true;
            void run();
        }
    }

    async function run(): Promise<void> {
        while (claims.length + lookups.length > 0) {
            await pace();
            const asked = lookups.splice(0);
            const batch = claims.splice(0);
            if (asked.length > 0) {
                await answerLookups(asked);
            }
            if (batch.length > 0) {
                await commitBatch(batch);
            }
        }
        isBusy = false;
    }

    /** Keeps the mean time between rounds, but lets a few follow each other at once after a quiet time. */
    async function pace(): Promise<void> {
        const waitMs = pacedUntilMs - settings.burstWrites * settings.minWriteIntervalMs - Date.now();
        if (waitMs > 0) {
            await pause(waitMs);
        }
        pacedUntilMs = Math.max(pacedUntilMs, Date.now()) + settings.minWriteIntervalMs;
    }

    async function answerLookups(asked: readonly PendingLookup[]): Promise<void> {
        const isRead = !isPaused() && await store.read();
        if (!isRead) {
            holdOff();
        }
        asked.forEach(({ hash, resolve }) =>
            resolve(isRead ? find(hash) ?? { kind: "free" } : { kind: "unavailable" })
        );
    }

    /** Settles what is known already; gives what has to be written, one claim for each key. */
    function settleKnown(batch: readonly PendingClaim[]): PendingClaim[] {
        const open: PendingClaim[] = [];
        for (const pending of batch) {
            const known = decide(pending.claim);
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
        if (isPaused()) {
            resolveAll(batch, { kind: "unavailable" });
            return;
        }
        let open: PendingClaim[] = [...batch];
        let isSeen = Number.isFinite(store.seenAtMs());
        while (open.length > 0) {
            if (!isSeen && !(await store.read())) {
                giveUp(open);
                return;
            }
            open = settleKnown(open);
            if (open.length === 0) {
                return;
            }
            const result = await writeClaims(open);
            switch (result) {
                case "written":
                case "moved":
                    isSeen = true;
                    break;
                case "lost":
                    // The write may have taken effect unseen, or may still do so: only reading again, and writing
                    // again against the same revision, tells which. Until then nobody is told "granted".
                    isSeen = false;
                    await pause(lostAnswerPauseMs);
                    break;
                case "unavailable":
                    giveUp(open);
                    return;
                case "full":
                    resolveAll(open, { kind: "full" });
                    return;
            }
            open = withoutOverdue(open);
        }
    }

    async function writeClaims(open: readonly PendingClaim[]): Promise<WriteResult> {
        const byHash = new Map<string, ClaimRequest>();
        open.forEach(({ claim }) => byHash.has(claim.hash) || byHash.set(claim.hash, claim));
        const due = [...marks];
        const result = await store.write([...byHash.values()], due.filter(isHolder).map(({ hash }) => hash));
        if (result === "written") {
            marks.splice(0, due.length);
        }
        return result;
    }

    /** A mark for a claim that never became durable would later be read as one for another attempt's claim. */
    function isHolder({ hash, boot, number }: Mark): boolean {
        const found = find(hash);
        return found !== undefined && found.boot === boot && found.number === number && !found.isNotRun;
    }

    function giveUp(open: readonly PendingClaim[]): void {
        holdOff();
        resolveAll(open, { kind: "unavailable" });
    }

    function withoutOverdue(open: readonly PendingClaim[]): PendingClaim[] {
        const now = Date.now();
        resolveAll(open.filter(({ claim, endAtMs }) => now >= endAtMs && decide(claim) === undefined), {
            kind: "unavailable",
        });
        return open.filter(({ claim, endAtMs }) => now < endAtMs || decide(claim) !== undefined);
    }

    return {
        commit(claim) {
            const known = decide(claim);
            if (known !== undefined && Number.isFinite(store.seenAtMs())) {
                return Promise.resolve(known);
            }
            return new Promise((resolve) => {
                claims.push({ claim, endAtMs: Date.now() + settings.claimTimeoutMs, resolve });
                wake();
            });
        },
        mark(mark) {
            if (marks.length < maxWaitingMarks && !marks.some(({ hash }) => hash === mark.hash)) {
                marks.push(mark);
            }
        },
        lookup(hash, isFresh) {
            const known = find(hash);
            if (known !== undefined) {
                return Promise.resolve(known);
            }
            if (!isFresh && Date.now() - store.seenAtMs() < settings.lookupCacheMs) {
                return Promise.resolve({ kind: "free" });
            }
            if (isPaused()) {
                return Promise.resolve({ kind: "unavailable" });
            }
            return new Promise((resolve) => {
                lookups.push({ hash, resolve });
                wake();
            });
        },
        size: () => store.index.size(),
    };
}

function resolveAll(open: readonly PendingClaim[], result: ClaimResult): void {
    open.forEach(({ resolve }) => resolve(result));
}
