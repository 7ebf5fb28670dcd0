import type { Peer } from "./peers";

/** Up to this many other entries are all linked; links cost little then, and each is one more way to the store. */
const fullMeshPeers = 16;

export interface LinkChoice {
    /** Boot of this entry. */
    readonly self: string;
    readonly others: readonly Peer[];
    /** Boot of the entry that decides; `undefined`: nobody does. */
    readonly owner: string | undefined;
}

/**
 * The entries that this one keeps links to.
 *
 * Each link is used four times a second in both directions, so that a silent one is noticed. Linked to all, each of 97 small
 * entries spent a tenth of its processor time on that alone. Links are needed to the owner, which everyone asks and which
 * has others call workers, and to a few more, for calls to a store that turns single entries away. On a ring by boot each
 * entry takes those 1, 2, 4, 8, .. places on: boots are random, so these lie in all zones, and any two entries are joined
 * over a few links.
 */
export function chooseLinks({ self, others, owner }: LinkChoice): readonly Peer[] {
    if (others.length <= fullMeshPeers || owner === self) {
        return others;
    }
    const ring = [...others].sort((a, b) => a.boot < b.boot ? -1 : 1);
    const start = ring.filter(({ boot }) => boot < self).length;
    const chosen = new Set<Peer>();
    for (let step = 1; step <= ring.length; step *= 2) {
        const peer = ring[(start + step - 1) % ring.length];
        if (peer !== undefined) {
            chosen.add(peer);
        }
    }
    others.filter(({ boot }) => boot === owner).forEach((peer) => chosen.add(peer));
    return [...chosen];
}
