import type { Peer } from "../peers";

/** An entry that may hold the duty. */
export interface Candidate extends Peer {
    /** How fast it decides and reads; see `measureStrength`. */
    readonly strength: number;
}

export interface Standing {
    /** Position among those that should apply, the strongest first. */
    readonly rank: number;
    /** Boot of the strongest other entry, where it is far stronger than this one. */
    readonly muchStronger: string | undefined;
}

/**
 * Bandwidth at which the link no longer holds an owner up, in megabits a second: the few megabytes that an owner reads
 * when it begins then take half a second.
 */
const ampleLinkMbps = 50;

/** An owner gives the duty to an entry that is this many times stronger; the change itself costs a quarter of a second. */
const muchStrongerFactor = 1.5;

/**
 * How well an instance can decide for a fleet. Instances of one fleet differ by four times in processor and by twenty
 * times in bandwidth; the smallest one as owner of 250 workers took 1.7 s to begin and ordered a hundred starts a second
 * while thousands of tasks waited.
 */
export function measureStrength(cores: number, linkMbps: number): number {
    return cores * Math.min(1, linkMbps / ampleLinkMbps);
}

/** Where an entry stands among all that are up. */
export function rankCandidates(self: Candidate, others: readonly Candidate[]): Standing {
    const isBefore = (a: Candidate, b: Candidate) =>
        a.strength > b.strength || a.strength === b.strength && a.boot < b.boot;
    const before = others.filter((other) => isBefore(other, self));
    const strongest = before.reduce<Candidate | undefined>(
        (best, other) => best === undefined || isBefore(other, best) ? other : best,
        undefined,
    );
    const isMuch = strongest !== undefined && strongest.strength >= self.strength * muchStrongerFactor;
    return { rank: before.length, muchStronger: isMuch ? strongest.boot : undefined };
}
