import { createProblem, type Problem } from "../errors";
import type { FleetState } from "../state";
import { indexKeys } from "./indexKeys";

/** A task's team and the id of the key with which it was submitted, if there is one. */
export interface KeyedTask {
    readonly team: string;
    readonly keyId?: string;
}

/**
 * Checks the key again right before a task is sent, and returns a problem if it was withdrawn. Otherwise a task that
 * was queued when its key was withdrawn would still start, and the operator would see work of that key long after the
 * withdrawal took effect.
 */
export function checkKey(state: FleetState | undefined, { team, keyId }: KeyedTask): Problem | undefined {
    if (keyId === undefined || state === undefined) {
        return undefined;
    }
    return indexKeys(state).get(keyId)?.team === team
        ? undefined
        : createProblem("KEY_REJECTED", "the key was withdrawn while the task waited");
}
