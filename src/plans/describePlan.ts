import type { Change, WorkItem } from "../state";
import type { PlanDraft } from "./planDraft";

/** Most steps that are listed one by one; a wave over a whole fleet is summed up. */
const maxListedSteps = 200;

/** Readable steps, in the order in which they are begun. */
export function describePlan(draft: PlanDraft): string[] {
    const work = [...draft.work].map(([name, item]) => describeWork(name, item));
    const listed = work.slice(0, maxListedSteps);
    const rest = work.length - listed.length;
    return [
        ...draft.changes.map(describeChange),
        ...listed,
        ...rest > 0 ? [`and the same with ${rest} further instances`] : [],
        ...draft.afterwards.map((change) => `afterwards ${describeChange(change)}`),
    ];
}

function describeWork(name: string, item: WorkItem): string {
    switch (item.kind) {
        case "move":
            return `drain ${name} and move it from pool ${item.from} to pool ${item.to}`;
        case "maintain":
            return `drain ${name}, reboot it, and prove it healthy`;
        case "remove":
            return `drain ${name} and remove it from the fleet`;
    }
}

function describeChange(change: Change): string {
    switch (change.kind) {
        case "setPool":
            return `set pool ${change.pool.name} with at most ${change.pool.maxUnavailable} instances unavailable`
                + (change.pool.reserve === undefined ? "" : `, ${change.pool.reserve} of them kept in reserve`);
        case "removePool":
            return `remove pool ${change.name}`;
        case "setTeam":
            return `set team ${change.team.name}: share ${change.team.weight}, at most ${change.team.limit.tasks} `
                + `tasks, pools ${change.team.pools.join(", ")}`;
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
