import type { Members } from "../members";
import type { Ledger } from "./ledger";

/** Covers the drift between the clocks of a worker and an entry during one lease. */
export const leaseMarginMs = 5000;

/** Each proof that boots unknown to this entry have ended costs a write. */
const minProofIntervalMs = 10_000;

export interface EndedBoots {
    /** Returns the holders that have ended and whose task leases have all expired. Their slices can be reclaimed. */
    findReclaimable(ledger: Ledger): ReadonlySet<string>;
    /** Starts a proof, through the platform, for holders that this entry cannot tell to be running or ended. */
    proveUnclear(ledger: Ledger): void;
    /** Time since this entry first saw that the boot has ended; `undefined` if it has not seen that. */
    endedForMs(boot: string): number | undefined;
}

export function createEndedBoots(members: Members): EndedBoots {
    /** Measured by this entry's own clock. A time from another process could be earlier than the boot's end. */
    const firstSeenEndedAtMs = new Map<string, number>();
    const provedEnded = new Set<string>();
    let lastProofAtMs = -Infinity;

    function isReclaimable(boot: string, leaseMs: number): boolean {
        if (!members.hasEnded(boot) && !provedEnded.has(boot)) {
            firstSeenEndedAtMs.delete(boot);
            return false;
        }
        const now = performance.now();
        const seenAtMs = firstSeenEndedAtMs.get(boot) ?? now;
        firstSeenEndedAtMs.set(boot, seenAtMs);
        return now - seenAtMs >= leaseMs + leaseMarginMs;
    }

    function isUnclear(boot: string): boolean {
        const recorded = members.recorded();
        return recorded !== undefined && !recorded.some((member) => member.boot === boot)
            && !members.hasEnded(boot) && !provedEnded.has(boot);
    }

    return {
        findReclaimable: ({ holders }) =>
            new Set(
                Object.entries(holders).flatMap(([boot, { leaseMs }]) => isReclaimable(boot, leaseMs) ? [boot] : []),
            ),
        proveUnclear({ holders }) {
            const unclear = Object.keys(holders).filter(isUnclear);
            const now = performance.now();
            if (unclear.length > 0 && now - lastProofAtMs >= minProofIntervalMs) {
                lastProofAtMs = now;
                void members.proveEnded(unclear).then((gone) => gone?.forEach((boot) => provedEnded.add(boot)));
            }
        },
        endedForMs(boot) {
            const seenAtMs = firstSeenEndedAtMs.get(boot);
            return seenAtMs === undefined ? undefined : Math.round(performance.now() - seenAtMs);
        },
    };
}
