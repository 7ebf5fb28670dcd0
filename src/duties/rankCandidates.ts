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

/** Order of candidates for leadership: by strength, then by boot id. */
export function isStronger(a: Candidate, b: Candidate): boolean {
    return a.strength > b.strength || a.strength === b.strength && a.boot < b.boot;
}

/** Whether a leader resigns for the other entry. */
function isMuchStronger(other: Candidate, self: Candidate): boolean {
    return other.strength >= self.strength * muchStrongerFactor;
}

function findStrongest(candidates: readonly Candidate[]): Candidate | undefined {
    return candidates.reduce<Candidate | undefined>(
        (best, each) => best === undefined || isStronger(each, best) ? each : best,
        undefined,
    );
}

/**
 * Ranks an entry among all that are up, by strength and then by boot id.
 *
 * @param designated boot of the designated standby, which campaigns first. It is ranked like the others if it is so weak
 *     that it would soon resign for the strongest entry: that would cost a second change of leaders.
 */
export function rankCandidates(self: Candidate, others: readonly Candidate[], designated?: string): Ranking {
    const strongest = findStrongest(others.filter((other) => isStronger(other, self)));
    const strongestOfAll = strongest ?? self;
    const preferred = [self, ...others].find(({ boot }) => boot === designated);
    const first = preferred === undefined || isMuchStronger(strongestOfAll, preferred) ? strongestOfAll : preferred;
    const before = others.filter((other) => other === first || self !== first && isStronger(other, self));
    return {
        rank: before.length,
        strongerLeader: strongest !== undefined && isMuchStronger(strongest, self) ? strongest.boot : undefined,
    };
}
