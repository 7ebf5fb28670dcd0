import { timingSafeEqual } from "node:crypto";
import type { FleetState } from "../state";
import { hashSecret } from "./createSecret";

/** Returns the name of the operator with this credential, or `undefined` if there is none. */
export function authenticateOperator(state: FleetState, credential: string): string | undefined {
    const hash = Buffer.from(hashSecret(credential), "hex");
    const found = Object.entries(state.operators)
        .find(([, known]) => timingSafeEqual(Buffer.from(known, "hex"), hash));
    return found?.[0];
}
