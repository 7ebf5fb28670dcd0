import { timingSafeEqual } from "node:crypto";
import type { FleetState } from "../state";
import { hashSecret } from "./createSecret";
import { indexKeys } from "./indexKeys";

export interface AuthenticatedTeam {
    readonly team: string;
    readonly keyId: string;
}

/** Maximum length of a key text; longer texts are not keys and are rejected without hashing them. */
const maxKeyChars = 256;

/** Returns the team that was granted this key, or `undefined` if the key is unknown or withdrawn. */
export function authenticateTeam(state: FleetState, keyText: string): AuthenticatedTeam | undefined {
    if (keyText.length > maxKeyChars) {
        return undefined;
    }
    const keyId = keyText.split(".", 1)[0] ?? "";
    const granted = indexKeys(state).get(keyId);
    const hash = Buffer.from(hashSecret(keyText), "hex");
    return granted !== undefined && timingSafeEqual(Buffer.from(granted.key.hash, "hex"), hash)
        ? { team: granted.team, keyId }
        : undefined;
}
