import type { Members } from "../members";
import type { Ledger } from "./ledger";

/** Covers the difference between the clocks of a worker and of an entry over one lease. */
export const leaseMarginMs = 5000;

/** Least time between two proofs that boots which nobody here ever saw have gone; each is a write. */
const proofMs = 10_000;

export interface EndedBoots {
    /** Holders that ended so long ago that none of their tasks can run any more. */
    findEnded(ledger: Ledger): ReadonlySet<string>;
    /** Holders for which only the platform can tell whether they are gone. */
    prove(ledger: Ledger): void;
}

export function createEndedBoots(members: Members): EndedBoots {
    /** By this entry's own clock: a time from elsewhere could lie before the boot's end. */
    const firstSeenGoneAtMs = new Map<string, number>();
    const proved = new Set<string>();
    let lastProofAtMs = -Infinity;

    function isEnded(boot: string, leaseMs: number): boolean {
        if (!members.hasEnded(boot) && !proved.has(boot)) {
            firstSeenGoneAtMs.delete(boot);
            return false;
        }
        const now = performance.now();
        const seenAtMs = firstSeenGoneAtMs.get(boot) ?? now;
        firstSeenGoneAtMs.set(boot, seenAtMs);
        return now - seenAtMs >= leaseMs + leaseMarginMs;
    }

    function isUnclear(boot: string): boolean {
        const recorded = members.recorded();
        return recorded !== undefined && !recorded.some((member) => member.boot === boot)
            && !members.hasEnded(boot) && !proved.has(boot);
    }

    return {
        findEnded: ({ holders }) =>
            new Set(Object.entries(holders).flatMap(([boot, { leaseMs }]) => isEnded(boot, leaseMs) ? [boot] : [])),
        prove({ holders }) {
            const unclear = Object.keys(holders).filter(isUnclear);
            const now = performance.now();
            if (unclear.length > 0 && now - lastProofAtMs >= proofMs) {
                lastProofAtMs = now;
                void members.proveEnded(unclear).then((gone) => gone?.forEach((boot) => proved.add(boot)));
            }
        },
    };
}
