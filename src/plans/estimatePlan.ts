import { type FleetState, nameRack, type Pool } from "../state";
import type { Intent } from "./intent";
import type { PoolEffect } from "./plan";
import type { PlanDraft } from "./planDraft";

export interface PlanEstimate {
    readonly effects: readonly PoolEffect[];
    readonly estimatedMs: number;
}

/** Estimates what the draft does to each pool, and how long it takes within the budgets. */
export function estimatePlan(state: FleetState, intent: Intent, draft: PlanDraft): PlanEstimate {
    const pools = readPoolsAfter(state, draft);
    const effects = new Map<string, PoolEffect>();
    const effectOf = (name: string): PoolEffect =>
        effects.get(name) ?? {
            pool: name,
            instancesBefore: 0,
            instancesAfter: 0,
            slotsBefore: 0,
            slotsAfter: 0,
            maxUnavailable: pools.get(name)?.maxUnavailable ?? 0,
            reserve: pools.get(name)?.reserve ?? 0,
            takenOut: 0,
            mostOut: 0,
        };
    const add = (name: string, part: Partial<Record<keyof PoolEffect, number>>) => {
        const effect = { ...effectOf(name) };
        for (const [field, amount] of Object.entries(part) as [Exclude<keyof PoolEffect, "pool">, number][]) {
            effect[field] += amount;
        }
        effects.set(name, effect);
    };
    for (const { name, pool, slots } of Object.values(state.instances)) {
        const item = draft.work.get(name);
        const after = item?.kind === "move" ? item.to : item?.kind === "remove" ? undefined : pool;
        add(pool, { instancesBefore: 1, slotsBefore: slots, takenOut: item === undefined ? 0 : 1 });
        if (after !== undefined) {
            add(after, { instancesAfter: 1, slotsAfter: slots });
        }
    }
    for (const change of draft.changes) {
        if (change.kind === "addInstance") {
            add(change.instance.pool, { instancesAfter: 1, slotsAfter: change.instance.slots });
        }
    }
    const touched = [...effects.values()].map((effect) => ({ ...effect, mostOut: countMostOut(effect) }))
        .filter(({ pool, takenOut, instancesAfter, instancesBefore }) =>
            takenOut > 0 || instancesAfter !== instancesBefore || draft.touches.has(`pool ${pool}`)
        );
    return { effects: touched, estimatedMs: estimateMs(state, intent, draft, touched) };
}

function readPoolsAfter(state: FleetState, draft: PlanDraft): Map<string, Pool> {
    const pools = new Map(Object.entries(state.pools));
    for (const change of draft.changes) {
        if (change.kind === "setPool") {
            pools.set(change.pool.name, change.pool);
        }
    }
    return pools;
}

function countMostOut({ takenOut, maxUnavailable, reserve }: PoolEffect): number {
    return Math.max(0, Math.min(takenOut, maxUnavailable - reserve));
}

/** Rounds of the pool that needs most; before them the first instance and the first rack of a wave. */
function estimateMs(state: FleetState, intent: Intent, draft: PlanDraft, effects: readonly PoolEffect[]): number {
    const { drainMs, rebootMs, proveMs } = intent.assumed;
    const isWave = [...draft.work.values()].some(({ kind }) => kind === "maintain");
    const roundMs = drainMs + proveMs + (isWave ? rebootMs : 0);
    const rounds = effects.filter(({ mostOut }) => mostOut > 0)
        .map(({ takenOut, mostOut }) => Math.ceil(takenOut / mostOut));
    const widest = effects.reduce((sum, { mostOut }) => sum + mostOut, 0);
    const byWidth = Math.ceil(draft.work.size / Math.max(1, Math.min(widest, intent.policy.maxInFlight)));
    const stages = isWave ? 1 + countFirstRackRounds(state, intent, draft, effects) : 0;
    return (stages + Math.max(0, byWidth, ...rounds)) * roundMs;
}

/** Rounds until half of the first rack is back, the first instance not counted. */
function countFirstRackRounds(
    state: FleetState,
    intent: Intent,
    draft: PlanDraft,
    effects: readonly PoolEffect[],
): number {
    const [first] = draft.work.keys();
    const firstInstance = first === undefined ? undefined : state.instances[first];
    if (firstInstance === undefined || !intent.policy.startsWithRack) {
        return 0;
    }
    const inRack = [...draft.work.keys()].map((name) => state.instances[name])
        .filter((instance) => instance !== undefined && nameRack(instance) === nameRack(firstInstance));
    const mostOut = effects.find(({ pool }) => pool === firstInstance.pool)?.mostOut ?? 0;
    const needed = Math.ceil(inRack.length / 2) - 1;
    return Math.ceil(needed / Math.max(1, mostOut));
}
