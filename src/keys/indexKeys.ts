import type { FleetState, TeamKey } from "../state";

/** A granted key and its team. */
export interface GrantedKey {
    readonly team: string;
    readonly key: TeamKey;
}

/**
 * Indexes by the teams of a state. States are immutable, so an index stays valid until its state is garbage-collected.
 */
const indexByTeams = new WeakMap<FleetState["teams"], ReadonlyMap<string, GrantedKey>>();

/** Returns the granted keys by key id; the index is built once for each revision of the teams. */
export function indexKeys(state: FleetState): ReadonlyMap<string, GrantedKey> {
    const known = indexByTeams.get(state.teams);
    if (known !== undefined) {
        return known;
    }
    const index = new Map<string, GrantedKey>();
    for (const team of Object.values(state.teams)) {
        for (const [keyId, key] of Object.entries(team.keys)) {
            index.set(keyId, { team: team.name, key });
        }
    }
    indexByTeams.set(state.teams, index);
    return index;
}
