import { indexMembers } from "./instances";
import type { FleetState, Instance } from "./state";

/** What of a pool's availability budget is spent. */
export interface PoolBudget {
    readonly maxUnavailable: number;
    readonly reserve: number;
    /** Members that count: all but those that have not joined yet. */
    readonly members: number;
    /** Members out on purpose, lost, or not yet proved healthy again. */
    readonly unavailable: number;
}

/** Reads the ledger of one pool; it is nothing but the states of the pool's instances. */
export function readPoolBudget(state: FleetState, poolName: string): PoolBudget {
    const pool = state.pools[poolName];
    let members = 0;
    let unavailable = 0;
    for (const instance of indexMembers(state.instances).get(poolName) ?? []) {
        if (!isJoining(instance)) {
            members++;
            unavailable += instance.state.kind === "serving" ? 0 : 1;
        }
    }
    return { maxUnavailable: pool?.maxUnavailable ?? 0, reserve: pool?.reserve ?? 0, members, unavailable };
}

/** How many more instances planned work may take out of the pool now; never negative. */
export function countFreeTokens({ maxUnavailable, reserve, unavailable }: PoolBudget): number {
    return Math.max(0, maxUnavailable - reserve - unavailable);
}

function isJoining({ state }: Instance): boolean {
    return state.kind === "proving" && state.isJoining;
}
