import { Right } from "purify-ts";
import type { Hold, Limits } from "../../src/limits";

/** One counter for all entries, in the place of slices; it only counts tasks. */
export interface FakeLimits {
    readonly limits: Limits;
    /** Holds that have not been given back. */
    heldCount(): number;
}

export function createFakeLimits(limitOf: (team: string) => number): FakeLimits {
    const held = new Map<string, Set<Hold>>();
    const listeners = new Set<(team: string) => void>();
    let nextId = 1;
    const limits: Limits = {
        tryAcquire(team, size) {
            const holds = held.get(team) ?? new Set();
            held.set(team, holds);
            if (holds.size >= limitOf(team)) {
                return undefined;
            }
            const hold = { id: nextId++, team, size };
            holds.add(hold);
            return hold;
        },
        release(hold) {
            held.get(hold.team)?.delete(hold);
            listeners.forEach((listener) => listener(hold.team));
        },
        isNeverPossible: (team) => limitOf(team) < 1,
        releaseAfter(hold, delayMs) {
            setTimeout(() => limits.release(hold), delayMs);
        },
        recordDemand() {},
        hasFreeCapacity: (team) => (held.get(team)?.size ?? 0) < limitOf(team),
        readDivisions: () => Promise.resolve(Right([])),
        findPeerWithCapacity: () => undefined,
        onCapacityAvailable(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        start() {},
        stop: () => Promise.resolve(),
    };
    return { limits, heldCount: () => [...held.values()].reduce((sum, { size }) => sum + size, 0) };
}
