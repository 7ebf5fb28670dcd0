import { randomUUID } from "node:crypto";
import { applyCommand, type Change, type FleetState } from "../state";
import type { Intent } from "./intent";
import type { Plan } from "./plan";

/** Plans the changes that bring the state to the intent. */
export function createPlan(state: FleetState, intent: Intent): Plan {
    const changes: Change[] = [
        ...intent.pools.map((pool) => ({ kind: "setPool", pool }) as const),
        ...intent.teams.map((team) => ({ kind: "setTeam", team }) as const),
        ...intent.instances
            .filter(({ name }) => state.instances[name] === undefined)
            .map((instance) => ({ kind: "addInstance", instance }) as const),
    ];
    const command = { kind: "change", changes } as const;
    const trial = applyCommand(state, { id: "trial", by: "trial", atMs: 0, reason: "", command });
    return {
        id: randomUUID(),
        madeAtRevision: state.revision,
        reason: intent.reason,
        changes,
        steps: changes.map(describeChange),
        refusals: trial.swap().map(({ detail }) => [detail]).orDefault([]),
    };
}

function describeChange(change: Change): string {
    switch (change.kind) {
        case "setPool":
            return `set pool ${change.pool.name} with at most ${change.pool.maxUnavailable} instances unavailable`;
        case "removePool":
            return `remove pool ${change.name}`;
        case "setTeam":
            return `set team ${change.team.name}: share ${change.team.weight}, at most ${change.team.limit.tasks} tasks`;
        case "removeTeam":
            return `remove team ${change.name}`;
        case "grantKey":
            return `grant key ${change.keyId} to team ${change.team}`;
        case "withdrawKey":
            return `withdraw key ${change.keyId}`;
        case "addInstance":
            return `add instance ${change.instance.name} to pool ${change.instance.pool}`;
        case "setOperator":
            return `set the credential of operator ${change.name}`;
    }
}
