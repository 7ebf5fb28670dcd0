import { type Change, type FleetState, indexMembers, type Instance, type WorkItem } from "../state";

/** A plan while its parts are put together. */
export interface PlanDraft {
    readonly changes: Change[];
    readonly work: Map<string, WorkItem>;
    readonly afterwards: Change[];
    readonly touches: Set<string>;
    readonly refusals: string[];
    readonly notes: string[];
    fewestMoves: number;
}

export function createPlanDraft(): PlanDraft {
    return {
        changes: [],
        work: new Map(),
        afterwards: [],
        touches: new Set(),
        refusals: [],
        notes: [],
        fewestMoves: 0,
    };
}

/** Adds one piece of work; an instance takes part in a plan once. */
export function addWork(draft: PlanDraft, instance: string, item: WorkItem): void {
    const known = draft.work.get(instance);
    if (known !== undefined) {
        draft.refusals.push(`instance ${instance} has two pieces of work: ${known.kind} and ${item.kind}`);
        return;
    }
    draft.work.set(instance, item);
}

export function addMove(draft: PlanDraft, instance: Instance, to: string): void {
    if (instance.pool !== to) {
        addWork(draft, instance.name, { kind: "move", from: instance.pool, to });
        draft.touches.add(`instance ${instance.name}`);
    }
}

export function listMembers(state: FleetState, pool: string): readonly Instance[] {
    return indexMembers(state.instances).get(pool) ?? [];
}
