import { isDeepStrictEqual } from "node:util";
import { type Either, Left, Right } from "purify-ts";
import { findByUrl, putInstance } from "./instances";
import type { PlanState } from "./plan";
import type { Change, FleetState, Rejection } from "./state";

type Applied = Either<Rejection, FleetState>;

/** Applies one change of a command. */
export function applyChange(state: FleetState, change: Change): Applied {
    switch (change.kind) {
        case "setPool":
            return Right({ ...state, pools: { ...state.pools, [change.pool.name]: change.pool } });
        case "removePool":
            return removePool(state, change.name);
        case "setTeam":
            return setTeam(state, change);
        case "removeTeam":
            return Right({ ...state, teams: without(state.teams, change.name) });
        case "grantKey":
            return grantKey(state, change);
        case "withdrawKey":
            return withdrawKey(state, change.keyId);
        case "addInstance":
            return addInstance(state, change);
        case "setOperator":
            return Right({ ...state, operators: { ...state.operators, [change.name]: change.credentialHash } });
    }
}

function removePool(state: FleetState, name: string): Applied {
    const member = Object.values(state.instances).find((instance) => instance.pool === name);
    if (member !== undefined) {
        return reject(`pool ${name} still has instance ${member.name}`);
    }
    const expecting = Object.values(state.plans).find((plan) => isMovedTo(state, plan, name));
    return expecting === undefined
        ? Right({ ...state, pools: without(state.pools, name) })
        : reject(`plan ${expecting.id} has yet to move an instance to pool ${name}`);
}

/** A pool that a plan still moves instances to must stay, or they would be in a pool that is not there. */
function isMovedTo(state: FleetState, plan: PlanState, pool: string): boolean {
    const active = plan.active.flatMap((name) => {
        const taken = state.instances[name]?.state;
        return taken !== undefined && "item" in taken ? [taken.item] : [];
    });
    return [...Object.values(plan.waiting), ...active].some((item) => item.kind === "move" && item.to === pool);
}

function setTeam(state: FleetState, { team }: Extract<Change, { kind: "setTeam"; }>): Applied {
    const known = state.teams[team.name];
    const isSameLimit = known !== undefined && isDeepStrictEqual(known.limit, team.limit);
    const limitRevision = isSameLimit ? known.limitRevision ?? 0 : state.revision + 1;
    const next = { ...team, limitRevision, keys: known?.keys ?? {} };
    return Right({ ...state, teams: { ...state.teams, [team.name]: next } });
}

function grantKey(state: FleetState, { team, keyId, key }: Extract<Change, { kind: "grantKey"; }>): Applied {
    const known = state.teams[team];
    if (known === undefined) {
        return reject(`there is no team ${team}`);
    }
    const keys = { ...known.keys, [keyId]: key };
    return Right({ ...state, teams: { ...state.teams, [team]: { ...known, keys } } });
}

function withdrawKey(state: FleetState, keyId: string): Applied {
    const holder = Object.values(state.teams).find((team) => Object.hasOwn(team.keys, keyId));
    if (holder === undefined) {
        return reject(`there is no key ${keyId}`);
    }
    const keys = without(holder.keys, keyId);
    return Right({ ...state, teams: { ...state.teams, [holder.name]: { ...holder, keys } } });
}

function addInstance(state: FleetState, { instance }: Extract<Change, { kind: "addInstance"; }>): Applied {
    if (state.instances[instance.name] !== undefined) {
        return reject(`instance ${instance.name} is in pool ${state.instances[instance.name]?.pool} already`);
    }
    if (state.pools[instance.pool] === undefined) {
        return reject(`there is no pool ${instance.pool}`);
    }
    const twin = findByUrl(state.instances, instance.url);
    if (twin !== undefined) {
        return reject(`instance ${twin} has the address ${instance.url} already`);
    }
    const added = { ...instance, assignmentNumber: 1, state: { kind: "serving" } as const };
    return Right(putInstance(state, added));
}

function reject(detail: string): Applied {
    return Left({ kind: "rejected", detail });
}

function without<T>(record: Readonly<Record<string, T>>, name: string): Readonly<Record<string, T>> {
    const { [name]: _removed, ...rest } = record;
    return rest;
}
