import type { FleetState, TeamKey } from "../state";

/** A granted key with the team that it belongs to. */
export interface GrantedKey {
    readonly team: string;
    readonly key: TeamKey;
}

/** States are never changed in place, so that each keeps the index that was made for it until it is collected. */
const indexes = new WeakMap<FleetState["teams"], ReadonlyMap<string, GrantedKey>>();

/** Granted keys by key id, indexed once for each revision of the teams. */
export function findKeys(state: FleetState): ReadonlyMap<string, GrantedKey> {
    const known = indexes.get(state.teams);
    if (known !== undefined) {
        return known;
    }
    const index = new Map<string, GrantedKey>();
    for (const team of Object.values(state.teams)) {
        for (const [keyId, key] of Object.entries(team.keys)) {
            index.set(keyId, { team: team.name, key });
        }
    }
    indexes.set(state.teams, index);
    return index;
}
