import type { Peer } from "../peers";

/** An entry that may become leader. */
export interface Candidate extends Peer {
    /** Relative speed at planning and at reading the store; see `computeStrength`. */
    readonly strength: number;
}

/** Place of an entry among the candidates for leadership. */
export interface Ranking {
    /** Position in the order of campaigning, the strongest candidate first; 0 for the first. */
    readonly rank: number;
    /** Boot id of the strongest other entry, if it is at least `muchStrongerFactor` times stronger than this one. */
    readonly strongerLeader: string | undefined;
}

/**
 * Bandwidth from which on the link does not slow a leader down, in megabits per second. The few megabytes that a new
 * leader reads then take half a second.
 */
const ampleLinkMbps = 50;

/** A leader resigns for an entry that is this many times stronger. The change of leaders takes a quarter of a second. */
const muchStrongerFactor = 1.5;

/**
 * Relative suitability of an instance as leader: its cores, reduced in proportion where the link is slow.
 *
 * Instances of one fleet differ by a factor of 4 in processor and of 20 in bandwidth. The smallest one as leader of 250
 * workers needs 1.7 s to begin and sends a hundred starts per second, while thousands of tasks wait.
 */
export function computeStrength(cores: number, linkMbps: number): number {
    return cores * Math.min(1, linkMbps / ampleLinkMbps);
}

/** Ranks an entry among all that are up, by strength and then by boot id. */
export function rankCandidates(self: Candidate, others: readonly Candidate[]): Ranking {
    const isBefore = (a: Candidate, b: Candidate) =>
        a.strength > b.strength || a.strength === b.strength && a.boot < b.boot;
    const stronger = others.filter((other) => isBefore(other, self));
    const strongest = stronger.reduce<Candidate | undefined>(
        (best, other) => best === undefined || isBefore(other, best) ? other : best,
        undefined,
    );
    const isMuchStronger = strongest !== undefined && strongest.strength >= self.strength * muchStrongerFactor;
    return { rank: stronger.length, strongerLeader: isMuchStronger ? strongest.boot : undefined };
}
