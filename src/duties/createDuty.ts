import { type Clocks, pause } from "../clock";
import type { Reporter } from "../logging";
import type { Store, StoreItem } from "../store";
import type { Standing } from "./rankCandidates";

/** The right to decide and to give orders; of all entries at most one holds it. */
export interface Tenure {
    /** Rises with each tenure; workers and machines refuse orders with a lower one than they have seen. */
    readonly token: number;
    /** Key and revision that every write of this tenure has to be conditional on. */
    readonly condition: { readonly key: string; readonly revision: number; };
    /** Whether the right certainly still holds. To be asked right before each order. */
    isValid(): boolean;
}

/** What the store holds of a duty. */
export interface DutyHolder {
    readonly boot: string;
    readonly instance: string;
}

/**
 * - `slow`: it gets too little processor time for what it has to do.
 * - `turnedAway`: the store answers others, and this entry only through them.
 */
export type Fitness = "fit" | "slow" | "turnedAway";

export interface DutyOptions {
    readonly store: Store;
    readonly clocks: Clocks;
    readonly holder: DutyHolder;
    readonly report: Reporter;
    /** Shortest lease that the store grants, in milliseconds. */
    readonly minTtlMs: number;
    /** Whether this entry can do the work well. */
    readonly fitness: () => Fitness;
    /** This entry holds the duty from now on. */
    onGained(tenure: Tenure): void;
    /** The right has run out or been refused; nothing may be ordered any more. */
    onLost(reason: string): void;
}

export interface Duty {
    /** Who holds the duty, as the store's events told it last; `undefined`: nobody. */
    noteHolder(item: StoreItem | undefined): void;
    /** Where this entry stands among those that are up. */
    noteStanding(standing: Standing): void;
    tenure(): Tenure | undefined;
    /** Gives the duty up at once, so that another entry can take it without waiting for the lease to end. */
    handOver(): Promise<void>;
    /** An order was refused because a higher token had been seen. */
    noteRefused(): void;
    start(): void;
    stop(): void;
}

export const dutyKey = "samphirepin/live/duty/all";

/**
 * Lease of a duty, in milliseconds. Shorter: work on the workers survives shorter outages of the store. Longer: after an
 * owner's death nobody decides for longer. Workers' leases (see `runLeaseMs`) outlast it, so that running tasks live
 * through a change of owners.
 */
const ttlMs = 2000;

/** The lease is renewed four times in its length, so that two lost calls do not end it. */
const renewMs = ttlMs / 4;

/** Safety at the end of a lease, in milliseconds: an order that leaves now has to arrive before somebody else decides. */
const validityMarginMs = 150;

/** Each rank waits this much longer before it applies, in milliseconds, so that mostly one entry applies at a time. */
const rankDelayMs = 30;

/** An entry that is not fit applies only when nobody else has for this long, in milliseconds. */
const unfitDelayMs = 3000;

/**
 * After the duty has changed hands, its owner does not give it up for being slow for this long, in milliseconds. The
 * load of the fleet makes each owner slow where instances are small; handed round, the duty left hundreds of submissions
 * without a single order, since each owner reads for a second or more before its first one.
 */
const slowAgainMs = 10_000;

/** An owner looks for a stronger entry once it has held the duty for this long, in milliseconds. */
const settledMs = 1500;

/**
 * How long a lease is waited for, in milliseconds; a slow store takes about 300. In an outage calls are swallowed: one that
 * is sent right before the store's return and waited for until it times out adds a second without an owner.
 */
const grantWaitMs = 450;

/** Pause after a failed application, in milliseconds. */
const applyRetryMs = 250;

interface Held {
    tenure: Tenure;
    readonly lease: number;
    validUntilMs: number;
    readonly gainedAtMs: number;
}

/** Competes for the duty, renews it while held, and tells when it is lost. */
export function createDuty(opts: DutyOptions): Duty {
    const { store, clocks, report } = opts;
    let holder: DutyHolder | undefined;
    let holderRevision = 0;
    let knowsHolder = false;
    let vacantSinceMs = 0;
    /** When an owner, this entry or another, last gave the duty up or lost it, as far as this entry has heard. */
    let givenUpAtMs = Number.NEGATIVE_INFINITY;
    let rank = 0;
    let muchStronger: string | undefined;
    /** Entries that this one has given the duty to for their strength; once each, so that it does not go to and fro. */
    const preferred = new Set<string>();
    let current: Held | undefined;
    /** The key in the store is of a right of this very process that ran out: it ended at a time that this process knows. */
    let isOwnLapsed = false;
    let isApplying = false;
    let isStopped = false;
    let isHandingOver = false;
    let applyTimer: NodeJS.Timeout | undefined;
    let renewTimer: NodeJS.Timeout | undefined;

    /** Its lease ran out here; in the store it may stand on, as after an outage in which leases paused. */
    function lapse(reason: string): void {
        isOwnLapsed = current !== undefined;
        lose(reason);
    }

    function lose(reason: string): void {
        if (current === undefined) {
            return;
        }
        const { token } = current.tenure;
        current = undefined;
        clearInterval(renewTimer);
        report({ kind: "duty", change: "lost", token, reason });
        opts.onLost(reason);
        schedule(applyRetryMs);
    }

    function schedule(delayMs: number): void {
        clearTimeout(applyTimer);
        if (!isStopped) {
            applyTimer = setTimeout(() => void apply(), delayMs);
        }
    }

    /**
     * An earlier process on this very instance is gone: the platform runs one at a time. A right of this process that ran
     * out is over as surely, and writing its key anew ends it in the store. Waiting for its lease there instead left the
     * fleet without an owner for two seconds after each outage of the store in which leases paused.
     */
    function isVacant(): boolean {
        const isOwnPast = holder?.instance === opts.holder.instance
            && (holder.boot !== opts.holder.boot || isOwnLapsed);
        return knowsHolder && (holder === undefined || isOwnPast);
    }

    async function apply(): Promise<void> {
        if (isApplying || isStopped || isHandingOver || current !== undefined || !isVacant()) {
            return;
        }
        if (opts.fitness() !== "fit" && performance.now() - vacantSinceMs < unfitDelayMs) {
            schedule(applyRetryMs);
            return;
        }
        isApplying = true;
        try {
            await tryToGain();
        }
        finally {
            isApplying = false;
        }
        if (current === undefined) {
            schedule(applyRetryMs + rank * rankDelayMs);
        }
    }

    async function tryToGain(): Promise<void> {
        const expectedRevision = holder === undefined ? 0 : holderRevision;
        const sentAtMs = clocks.suspendAwareMs();
        const granting = store.grantLease(Math.max(ttlMs, opts.minTtlMs));
        // A lease that is granted too late holds nothing and ends by itself.
        const leased = await Promise.race([granting, pause(grantWaitMs)]);
        if (leased?.kind !== "leased") {
            return;
        }
        const result = await store.commit({
            conditions: [{ key: dutyKey, revision: expectedRevision }],
            puts: [{ key: dutyKey, text: JSON.stringify(opts.holder), lease: leased.lease }],
            deletes: [],
        });
        if (result.kind !== "committed") {
            // A write without an answer may still arrive; ending its lease makes sure that it holds nobody up.
            void store.endLease(leased.lease);
            return;
        }
        hold(leased.lease, result.revision, sentAtMs + leased.ttlMs - validityMarginMs);
    }

    function hold(lease: number, token: number, validUntilMs: number): void {
        isOwnLapsed = false;
        const held = { lease, validUntilMs, gainedAtMs: performance.now() } as Held;
        held.tenure = {
            token,
            condition: { key: dutyKey, revision: token },
            isValid: () => current === held && clocks.suspendAwareMs() < held.validUntilMs,
        };
        current = held;
        report({ kind: "duty", change: "gained", token, reason: holder === undefined ? "vacant" : "ownPast" });
        renewTimer = setInterval(() => void renew(held), renewMs);
        opts.onGained(held.tenure);
    }

    /** Entries that start together do not know of each other yet; whoever came first may be the weakest of them. */
    function findBetter({ gainedAtMs }: Held): string | undefined {
        const isSettled = performance.now() - gainedAtMs > settledMs;
        return isSettled && muchStronger !== undefined && !preferred.has(muchStronger) ? muchStronger : undefined;
    }

    /** Why another entry should do the work; `undefined`: none should. */
    function findUnfitness(): string | undefined {
        const fitness = opts.fitness();
        switch (fitness) {
            case "fit":
                return undefined;
            case "slow":
                return performance.now() - givenUpAtMs > slowAgainMs ? "this entry is slow" : undefined;
            case "turnedAway":
                return "the store turns this entry away";
        }
    }

    async function renew(held: Held): Promise<void> {
        if (clocks.suspendAwareMs() >= held.validUntilMs) {
            lapse("the lease could not be renewed in time");
            return;
        }
        const unfit = findUnfitness();
        if (unfit !== undefined) {
            // Another entry does the work at full speed; the change costs it a quarter of a second.
            givenUpAtMs = performance.now();
            lose(unfit);
            await store.endLease(held.lease);
            return;
        }
        const better = findBetter(held);
        if (better !== undefined) {
            preferred.add(better);
            lose(`${better} is far stronger`);
            await store.endLease(held.lease);
            return;
        }
        const sentAtMs = clocks.suspendAwareMs();
        const result = await store.renewLease(held.lease);
        if (current !== held) {
            return;
        }
        if (!held.tenure.isValid()) {
            // What was to be written meanwhile was given up for good; the right must not come back under it.
            lapse("the lease was renewed too late");
            return;
        }
        switch (result.kind) {
            case "leased":
                held.validUntilMs = Math.max(held.validUntilMs, sentAtMs + result.ttlMs - validityMarginMs);
                return;
            case "leaseEnded":
                lapse("the store has ended the lease");
                return;
            case "unavailable":
        }
    }

    return {
        noteHolder(item) {
            if (item === undefined && (holder !== undefined || !knowsHolder)) {
                vacantSinceMs = performance.now();
            }
            if (holder !== undefined && holder.boot !== opts.holder.boot) {
                givenUpAtMs = performance.now();
            }
            knowsHolder = true;
            holder = item === undefined ? undefined : JSON.parse(item.text) as DutyHolder;
            holderRevision = item?.revision ?? 0;
            isOwnLapsed &&= holder?.boot === opts.holder.boot;
            const isOther = item !== undefined && current !== undefined && item.revision > current.tenure.token;
            if (isOther) {
                lose("another entry holds the duty");
            }
            schedule(rank * rankDelayMs);
        },
        noteStanding(standing) {
            rank = standing.rank;
            muchStronger = standing.muchStronger;
        },
        tenure: () => current?.tenure,
        async handOver() {
            isHandingOver = true;
            const held = current;
            lose("handed over");
            if (held !== undefined) {
                await store.endLease(held.lease);
            }
        },
        noteRefused: () => lose("a higher token was seen"),
        start: () => schedule(0),
        stop() {
            isStopped = true;
            clearTimeout(applyTimer);
            clearInterval(renewTimer);
        },
    };
}
