import { createProblem, type Problem } from "../errors";
import type { FleetState } from "../state";
import { findKeys } from "./findKeys";

/** What a task carries of the key that it came with. */
export interface KeyedTask {
    readonly team: string;
    readonly keyId?: string;
}

/**
 * Looks again, right before a task is sent: a task that waited in the queue while its key was withdrawn would
 * otherwise still start, and the operator would see work of the key long after the withdrawal was in force.
 */
export function checkKey(state: FleetState | undefined, { team, keyId }: KeyedTask): Problem | undefined {
    if (keyId === undefined || state === undefined) {
        return undefined;
    }
    return findKeys(state).get(keyId)?.team === team
        ? undefined
        : createProblem("KEY_REJECTED", "the key was withdrawn while the task waited");
}
