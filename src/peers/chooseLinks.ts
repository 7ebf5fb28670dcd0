import type { Peer } from "./peers";

/**
 * Up to this many other entries, an entry links to all of them: links cost little then, and each can relay store calls.
 */
const fullMeshPeers = 16;

export interface ChooseLinksOptions {
    /** Boot of this entry. */
    readonly self: string;
    readonly others: readonly Peer[];
    /** Boot of the leader; `undefined` if there is none. */
    readonly leader: string | undefined;
    /** Boots of the leader's standbys. They are linked with each other, to compare what they hear of the leader. */
    readonly standbys?: readonly string[];
}

/**
 * Chooses the entries to which this entry keeps links.
 *
 * Each link carries heartbeats four times a second in both directions, to detect a silent peer. In a full mesh of 97
 * small entries, each spent a tenth of its CPU time on heartbeats alone. An entry needs a link to the leader, which all
 * entries ask and which calls workers through other entries. It needs a few more links to relay store calls when the
 * store refuses single entries. The entries form a ring ordered by boot, and each links to those 1, 2, 4, 8, ...
 * positions ahead. Boots are random, so the linked entries lie in all zones, and any two entries are connected over a
 * few links.
 */
export function chooseLinks({ self, others, leader, standbys = [] }: ChooseLinksOptions): readonly Peer[] {
    if (others.length <= fullMeshPeers || leader === self) {
        return others;
    }
    const ring = [...others].sort((a, b) => a.boot < b.boot ? -1 : 1);
    const start = ring.filter(({ boot }) => boot < self).length;
    const chosen = new Set<Peer>();
    for (let distance = 1; distance <= ring.length; distance *= 2) {
        const peer = ring[(start + distance - 1) % ring.length];
        if (peer !== undefined) {
            chosen.add(peer);
        }
    }
    const needed = [leader, ...standbys.includes(self) ? standbys : []];
    others.filter(({ boot }) => needed.includes(boot)).forEach((peer) => chosen.add(peer));
    return [...chosen];
}
