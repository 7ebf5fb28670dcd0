import { timingSafeEqual } from "node:crypto";
import type { FleetState } from "../state";
import { hashSecret } from "./createSecret";

export interface AuthenticatedTeam {
    readonly team: string;
    readonly keyId: string;
}

/** Finds the team whose granted key this is; `undefined` where the key is unknown or withdrawn. */
export function authenticateTeam(state: FleetState, keyText: string): AuthenticatedTeam | undefined {
    const keyId = keyText.split(".", 1)[0] ?? "";
    const hash = Buffer.from(hashSecret(keyText), "hex");
    for (const team of Object.values(state.teams)) {
        const key = Object.hasOwn(team.keys, keyId) ? team.keys[keyId] : undefined;
        if (key !== undefined && timingSafeEqual(Buffer.from(key.hash, "hex"), hash)) {
            return { team: team.name, keyId };
        }
    }
    return undefined;
}
