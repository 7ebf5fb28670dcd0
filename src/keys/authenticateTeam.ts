import { timingSafeEqual } from "node:crypto";
import type { FleetState } from "../state";
import { hashSecret } from "./createSecret";
import { findKeys } from "./findKeys";

export interface AuthenticatedTeam {
    readonly team: string;
    readonly keyId: string;
}

/** Longest key text that is looked at; longer ones are not keys and are not worth hashing. */
const maxKeyChars = 256;

/** Finds the team whose granted key this is; `undefined` where the key is unknown or withdrawn. */
export function authenticateTeam(state: FleetState, keyText: string): AuthenticatedTeam | undefined {
    if (keyText.length > maxKeyChars) {
        return undefined;
    }
    const keyId = keyText.split(".", 1)[0] ?? "";
    const granted = findKeys(state).get(keyId);
    const hash = Buffer.from(hashSecret(keyText), "hex");
    return granted !== undefined && timingSafeEqual(Buffer.from(granted.key.hash, "hex"), hash)
        ? { team: granted.team, keyId }
        : undefined;
}
