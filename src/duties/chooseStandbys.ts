import { type Candidate, isStronger } from "./rankCandidates";

/** Standbys in each availability zone: with two, one may be lost without losing the zone's view of the leader. */
const standbysPerZone = 2;

/**
 * Chooses the entries that watch the leader, as an ordered list of their boots.
 *
 * The first one is the designated standby: the strongest entry outside the leader's availability zone, so that it survives
 * the loss of that zone, or the strongest other entry if all are in one zone. The others follow in order of strength. All
 * entries compute the same list from the same presence records.
 *
 * @param leader boot of the leader
 * @param candidates all entries that are up, with or without the leader
 */
export function chooseStandbys(leader: string, candidates: readonly Candidate[]): readonly string[] {
    const leaderZone = candidates.find(({ boot }) => boot === leader)?.zone;
    const countByZone = new Map<string, number>();
    const chosen = candidates
        .filter(({ boot }) => boot !== leader)
        .sort((a, b) => isStronger(a, b) ? -1 : 1)
        .filter(({ zone }) => {
            const count = (countByZone.get(zone) ?? 0) + 1;
            countByZone.set(zone, count);
            return count <= standbysPerZone;
        });
    const designated = chosen.find(({ zone }) => zone !== leaderZone) ?? chosen[0];
    return designated === undefined
        ? []
        : [designated, ...chosen.filter((each) => each !== designated)].map(({ boot }) => boot);
}
