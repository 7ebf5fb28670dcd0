import type { FleetState, Instance, Pool } from "../state";
import { writeCanonically } from "../state";
import type { Intent } from "./intent";
import { addMove, addWork, listMembers, type PlanDraft } from "./planDraft";

/** Drafts what the intent says of pools, teams and instances by name. */
export function draftChanges(state: FleetState, intent: Intent, draft: PlanDraft): void {
    for (const { instances: _size, reserve, ...pool } of intent.pools) {
        const stated: Pool = reserve === undefined ? pool : { ...pool, reserve };
        draft.changes.push({ kind: "setPool", pool: stated });
        draft.touches.add(`pool ${pool.name}`);
    }
    for (const team of intent.teams) {
        draft.changes.push({ kind: "setTeam", team });
        draft.touches.add(`team ${team.name}`);
    }
    intent.instances.forEach((instance) => draftInstance(state, instance, draft));
    intent.moves.forEach(({ instance, to }) => draftMove(state, instance, to, draft));
    for (const name of intent.removeInstances) {
        draftRemoval(state, name, draft);
    }
    for (const name of intent.removeTeams) {
        draft.changes.push({ kind: "removeTeam", name });
        draft.touches.add(`team ${name}`);
    }
    for (const name of intent.removePools) {
        draft.afterwards.push({ kind: "removePool", name });
        draft.touches.add(`pool ${name}`);
        draft.touches.add(`members ${name}`);
    }
}

function draftInstance(state: FleetState, stated: Intent["instances"][number], draft: PlanDraft): void {
    const known = state.instances[stated.name];
    draft.touches.add(`instance ${stated.name}`);
    if (known === undefined) {
        draft.changes.push({ kind: "addInstance", instance: stated });
        draft.touches.add(`pool ${stated.pool}`);
        return;
    }
    const fields = (["url", "region", "zone", "rack", "slots", "capacity"] as const)
        .filter((field) => writeCanonically(known[field]) !== writeCanonically(stated[field]));
    if (fields.length > 0) {
        draft.refusals.push(
            `instance ${stated.name} is known with another ${fields.join(", ")}; remove it first, then add it`,
        );
    }
    draftMove(state, stated.name, stated.pool, draft);
}

function draftMove(state: FleetState, name: string, to: string, draft: PlanDraft): void {
    const instance: Instance | undefined = state.instances[name];
    if (instance === undefined) {
        draft.refusals.push(`there is no instance ${name} to move`);
        return;
    }
    draft.touches.add(`pool ${to}`);
    draft.fewestMoves += instance.pool === to ? 0 : 1;
    addMove(draft, instance, to);
}

function draftRemoval(state: FleetState, name: string, draft: PlanDraft): void {
    if (state.instances[name] === undefined) {
        draft.refusals.push(`there is no instance ${name} to remove`);
        return;
    }
    draft.touches.add(`instance ${name}`);
    addWork(draft, name, { kind: "remove" });
}

/** Drafts merges: instances and teams go over, then the emptied pools are removed. */
export function draftMerges(state: FleetState, intent: Intent, draft: PlanDraft): void {
    for (const { from, into } of intent.merges) {
        draft.touches.add(`pool ${into}`);
        for (const pool of from.filter((name) => name !== into)) {
            draft.touches.add(`pool ${pool}`);
            draft.touches.add(`members ${pool}`);
            const members = listMembers(state, pool);
            members.forEach((instance) => addMove(draft, instance, into));
            draft.fewestMoves += members.length;
            draft.afterwards.push({ kind: "removePool", name: pool });
        }
        mergeTeams(state, from, into, draft);
    }
}

/** A team of a merged pool may use both until the work is done, so that none of its requests is refused. */
function mergeTeams(state: FleetState, from: readonly string[], into: string, draft: PlanDraft): void {
    for (const { keys: _keys, ...team } of Object.values(state.teams)) {
        if (team.pools.some((pool) => from.includes(pool))) {
            const pools = [...new Set([...team.pools, into])];
            draft.touches.add(`team ${team.name}`);
            draft.changes.push({ kind: "setTeam", team: { ...team, pools } });
            const left = pools.filter((pool) => pool === into || !from.includes(pool));
            draft.afterwards.push({ kind: "setTeam", team: { ...team, pools: left } });
        }
    }
}

/** Drafts the wave: each instance of the pools is rebooted once, rack after rack. */
export function draftWave(state: FleetState, intent: Intent, draft: PlanDraft): void {
    if (intent.wave === undefined) {
        return;
    }
    const pools = intent.wave.pools ?? Object.keys(state.pools);
    for (const pool of pools) {
        if (state.pools[pool] === undefined) {
            draft.refusals.push(`there is no pool ${pool}`);
        }
        draft.touches.add(`pool ${pool}`);
        draft.touches.add(`members ${pool}`);
    }
    const wanted = new Set(pools);
    const members = Object.values(state.instances).filter(({ pool }) => wanted.has(pool));
    const rackOf = ({ region, zone, rack }: Instance) => `${region}/${zone}/${rack}`;
    members.sort((a, b) => compare(rackOf(a), rackOf(b)) || compare(a.name, b.name));
    members.forEach(({ name }) => addWork(draft, name, { kind: "maintain" }));
}

function compare(a: string, b: string): number {
    return a < b ? -1 : a > b ? 1 : 0;
}
