import { pause } from "../clock";
import type { LeaderTerm } from "./createLeaderObservation";
import { decodeLeader } from "./decodeRecords";
import type { LeaderElection, LeaderElectionOptions, LeaderRecord, TakeoverOutcome, Tenure } from "./leaderElection";

export const leaderKey = "samphirepin/live/duty/all";

/**
 * Lease of the leader, in milliseconds. A shorter one lets running work survive only shorter outages of the store. A longer
 * one leaves the fleet without a leader for longer after a crash. Leases of runs (see `runLeaseMs`) are longer, so that
 * running tasks survive a change of leaders.
 */
const ttlMs = 2000;

/** Interval of renewals, in milliseconds. At four in the length of a lease, two lost calls do not end it. */
const renewMs = ttlMs / 4;

/** Safety margin at the end of the lease, in milliseconds: a request sent now has to arrive before the next tenure. */
const validityMarginMs = 150;

/** Additional delay for each rank before campaigning, in milliseconds, so that mostly one entry campaigns at a time. */
const rankDelayMs = 30;

/** An unfit entry campaigns only after there has been no leader for this long, in milliseconds. */
const unfitCampaignDelayMs = 3000;

/**
 * After a change of leaders, the leader does not resign for being slow for this long, in milliseconds. Where instances are
 * small, the load of the fleet makes each leader slow. Repeated changes would leave hundreds of submissions without a
 * single start, since each new leader reads the store for a second or more before its first request.
 */
const slowResignPauseMs = 10_000;

/** A leader resigns for a stronger entry only after it has led for this long, in milliseconds. */
const minTenureMs = 1500;

/**
 * Timeout for the grant of a lease, in milliseconds; a slow store takes about 300. Calls sent during an outage get no
 * answer. Waiting until a call sent right before the store's recovery times out adds a second without a leader.
 */
const grantTimeoutMs = 450;

/** Pause after a failed campaign, in milliseconds. */
const campaignRetryMs = 250;

/** The tenure of this entry and its lease. */
interface Held {
    tenure: Tenure;
    readonly lease: number;
    validUntilMs: number;
    readonly gainedAtMs: number;
}

/** Campaigns for leadership, renews the lease while it leads, and reports the end of the tenure. */
export function createLeaderElection(opts: LeaderElectionOptions): LeaderElection {
    const { store, clocks, report } = opts;
    let holder: LeaderRecord | undefined;
    let holderRevision = 0;
    let knowsHolder = false;
    let vacantSinceMs = 0;
    /** When a leader, this entry or another, last resigned or lost leadership, as far as this entry knows. */
    let leaderLostAtMs = Number.NEGATIVE_INFINITY;
    let rank = 0;
    let muchStronger: string | undefined;
    /** Stronger entries for which this one has resigned; once each, so that leadership does not flap. */
    const resignedFor = new Set<string>();
    let current: Held | undefined;
    /** The leader key in the store is of an expired tenure of this process, which knows when that tenure ended. */
    let isOwnExpired = false;
    /** A campaign or a takeover is in progress; only one of them may write. */
    let isCampaigning = false;
    /** A takeover failed, so the leader known from the watch may be outdated. */
    let isHolderUncertain = false;
    /** When a leader was replaced whose lease had not expired, on the monotonic clock. */
    let replacedAtMs = Number.NEGATIVE_INFINITY;
    let isStopped = false;
    let isResigned = false;
    let campaignTimer: NodeJS.Timeout | undefined;
    let renewTimer: NodeJS.Timeout | undefined;

    /** Ends a tenure whose lease has expired here. The store may hold it for longer, if leases paused in an outage. */
    function expire(reason: string): void {
        isOwnExpired = current !== undefined;
        endTenure(reason);
    }

    function endTenure(reason: string): void {
        if (current === undefined) {
            return;
        }
        const { token } = current.tenure;
        current = undefined;
        clearInterval(renewTimer);
        report({ kind: "duty", change: "lost", token, reason });
        opts.onLost(reason);
        scheduleCampaign(campaignRetryMs);
    }

    function scheduleCampaign(delayMs: number): void {
        clearTimeout(campaignTimer);
        if (!isStopped) {
            campaignTimer = setTimeout(() => void campaign(), delayMs);
        }
    }

    /**
     * Whether leadership is free to take.
     *
     * An earlier process on the same instance has ended, because the platform runs one at a time. An expired tenure of this
     * process has ended as well, and overwriting its key ends it in the store. Waiting for its lease in the store instead
     * would leave the fleet without a leader for two seconds after each outage of the store in which leases paused.
     */
    function isVacant(): boolean {
        const isOwnEarlier = holder?.instance === opts.holder.instance
            && (holder.boot !== opts.holder.boot || isOwnExpired);
        return knowsHolder && (holder === undefined || isOwnEarlier);
    }

    async function campaign(): Promise<void> {
        if (isCampaigning || isStopped || isResigned || current !== undefined || !isVacant()) {
            return;
        }
        if (opts.fitness() !== "fit" && performance.now() - vacantSinceMs < unfitCampaignDelayMs) {
            scheduleCampaign(campaignRetryMs);
            return;
        }
        isCampaigning = true;
        try {
            const reason = holder === undefined ? "vacant" : "ownPast";
            await tryAcquire(holder === undefined ? 0 : holderRevision, reason, () => true);
        }
        finally {
            isCampaigning = false;
        }
        if (current === undefined) {
            scheduleCampaign(campaignRetryMs + rank * rankDelayMs);
        }
    }

    /** Whether the leader key is still at the revision of the leader to replace. Reads it after a failed takeover. */
    async function isPresentLeader({ boot, token }: LeaderTerm): Promise<boolean> {
        if (isHolderUncertain) {
            const result = await store.read(leaderKey);
            return result.kind === "found" && result.item.revision === token;
        }
        return holder?.boot === boot && holderRevision === token;
    }

    async function takeOver(leader: LeaderTerm, isLost: () => boolean): Promise<TakeoverOutcome> {
        if (isCampaigning || isStopped || isResigned || current !== undefined || opts.fitness() !== "fit") {
            return "notAllowed";
        }
        isCampaigning = true;
        try {
            if (!await isPresentLeader(leader)) {
                return "notAllowed";
            }
            const outcome = await tryAcquire(leader.token, "evidence", isLost);
            isHolderUncertain = outcome === "notWritten";
            return outcome;
        }
        finally {
            isCampaigning = false;
            if (current === undefined) {
                // The leader key may have become vacant during the takeover, which kept this entry from campaigning.
                scheduleCampaign(rank * rankDelayMs);
            }
        }
    }

    async function tryAcquire(
        expectedRevision: number,
        reason: "vacant" | "ownPast" | "evidence",
        isWanted: () => boolean,
    ): Promise<TakeoverOutcome> {
        const sentAtMs = clocks.suspendAwareMs();
        const granting = store.grantLease(Math.max(ttlMs, opts.minTtlMs));
        // A lease that is granted too late has no key attached and expires by itself.
        const leased = await Promise.race([granting, pause(grantTimeoutMs)]);
        if (leased?.kind !== "leased") {
            return "notWritten";
        }
        if (!isWanted()) {
            void store.endLease(leased.lease);
            return "withdrawn";
        }
        const result = await store.commit({
            conditions: [{ key: leaderKey, revision: expectedRevision }],
            puts: [{ key: leaderKey, text: JSON.stringify(opts.holder), lease: leased.lease }],
            deletes: [],
        });
        if (result.kind !== "committed" || isStopped || isResigned) {
            // A write without an answer may still be applied; ending its lease keeps its key from blocking others.
            void store.endLease(leased.lease);
            return "notWritten";
        }
        if (reason === "evidence") {
            replacedAtMs = clocks.monotonicMs();
        }
        beginTenure(leased.lease, result.revision, sentAtMs + leased.ttlMs - validityMarginMs, reason);
        return "leading";
    }

    /**
     * Until when a replaced leader may take itself for the leader. It extends its tenure only by renewals sent before it
     * was replaced (see `renew`), so its tenure ends within the length of a lease after that.
     */
    function findFormerLeaderUntilMs(): number | undefined {
        const untilMs = replacedAtMs + Math.max(ttlMs, opts.minTtlMs);
        return untilMs > clocks.monotonicMs() ? untilMs : undefined;
    }

    function beginTenure(lease: number, token: number, validUntilMs: number, reason: string): void {
        isOwnExpired = false;
        const held = { lease, validUntilMs, gainedAtMs: performance.now() } as Held;
        held.tenure = {
            token,
            condition: { key: leaderKey, revision: token },
            isValid: () => current === held && clocks.suspendAwareMs() < held.validUntilMs,
            mayInterrupt: () => held.tenure.isValid() && (opts.isHeard?.() ?? true),
            formerLeaderUntilMs: findFormerLeaderUntilMs(),
        };
        current = held;
        report({ kind: "duty", change: "gained", token, reason });
        renewTimer = setInterval(() => void renew(held), renewMs);
        opts.onGained(held.tenure);
    }

    /**
     * The stronger entry for which to resign, if any. Entries that start together do not know of each other at first, so
     * the first leader may be the weakest of them.
     */
    function findStrongerLeader({ gainedAtMs }: Held): string | undefined {
        const isPastMinTenure = performance.now() - gainedAtMs > minTenureMs;
        return isPastMinTenure && muchStronger !== undefined && !resignedFor.has(muchStronger)
                && (opts.isLinked?.(muchStronger) ?? true)
            ? muchStronger
            : undefined;
    }

    /** Why to resign for lack of fitness; `undefined` for no reason to. */
    function findResignReason(): string | undefined {
        const fitness = opts.fitness();
        switch (fitness) {
            case "fit":
                return undefined;
            case "slow":
                return performance.now() - leaderLostAtMs > slowResignPauseMs
                    ? "this entry gets too little processor time"
                    : undefined;
            case "turnedAway":
                return "the store answers this entry only through its peers";
        }
    }

    async function renew(held: Held): Promise<void> {
        if (clocks.suspendAwareMs() >= held.validUntilMs) {
            expire("the lease was not renewed in time");
            return;
        }
        const resignReason = findResignReason();
        if (resignReason !== undefined) {
            // Another entry does the work at full speed; the change of leaders takes a quarter of a second.
            leaderLostAtMs = performance.now();
            endTenure(resignReason);
            await store.endLease(held.lease);
            return;
        }
        const stronger = findStrongerLeader(held);
        if (stronger !== undefined) {
            resignedFor.add(stronger);
            endTenure(`resigned for the stronger entry ${stronger}`);
            await store.endLease(held.lease);
            return;
        }
        const sentAtMs = clocks.suspendAwareMs();
        // A leader that was replaced on evidence keeps its lease, which no longer has the leader key attached.
        const [result, key] = await Promise.all([store.renewLease(held.lease), store.read(leaderKey)]);
        if (current !== held) {
            return;
        }
        if (key.kind === "found" && key.item.revision > held.tenure.token) {
            endTenure("another entry holds the duty");
            return;
        }
        if (!held.tenure.isValid()) {
            // Writes due meanwhile have been abandoned, so the tenure must not become valid again.
            expire("the lease was renewed only after its end");
            return;
        }
        switch (result.kind) {
            case "leased":
                if (key.kind !== "found" || key.item.revision !== held.tenure.token) {
                    return;
                }
                held.validUntilMs = Math.max(held.validUntilMs, sentAtMs + result.ttlMs - validityMarginMs);
                return;
            case "leaseEnded":
                expire("the lease has ended in the store");
                return;
            case "unavailable":
        }
    }

    return {
        updateLeader(item) {
            if (item === undefined && (holder !== undefined || !knowsHolder)) {
                vacantSinceMs = performance.now();
            }
            if (holder !== undefined && holder.boot !== opts.holder.boot) {
                leaderLostAtMs = performance.now();
            }
            const former = holder;
            knowsHolder = true;
            holder = item === undefined ? undefined : decodeLeader(item.text);
            holderRevision = item?.revision ?? 0;
            isHolderUncertain = false;
            if (former !== undefined && holder !== undefined && former.instance !== holder.instance) {
                replacedAtMs = clocks.monotonicMs();
            }
            isOwnExpired &&= holder?.boot === opts.holder.boot;
            const isOther = item !== undefined && current !== undefined && item.revision > current.tenure.token;
            if (isOther) {
                endTenure("another entry holds the duty");
            }
            scheduleCampaign(rank * rankDelayMs);
        },
        updateRanking(ranking) {
            rank = ranking.rank;
            muchStronger = ranking.strongerLeader;
        },
        takeOver,
        tenure: () => current?.tenure,
        async resign() {
            isResigned = true;
            const held = current;
            endTenure("resigned: this entry is stopping");
            if (held !== undefined) {
                await store.endLease(held.lease);
            }
        },
        onFenced: () => endTenure("a request was refused: a higher fencing token is known"),
        start: () => scheduleCampaign(0),
        stop() {
            isStopped = true;
            clearTimeout(campaignTimer);
            clearInterval(renewTimer);
        },
    };
}
