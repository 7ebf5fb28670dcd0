import { type Either, Left, Right } from "purify-ts";
import { applyChange } from "./applyChange";
import { digestTouched } from "./digestTouched";
import { forgetOldPlans } from "./forgetOldPlans";
import { inBatch } from "./instances";
import type { ConfirmedPlan, PlanState, PlanStatus } from "./plan";
import { addHistory, setPlan } from "./planHistory";
import type { Change, CommandRecord, FleetState, Rejection } from "./state";

type Applied = Either<Rejection, FleetState>;

/** Applies changes one after the other; all, or none. */
export function applyChanges(state: FleetState, changes: readonly Change[]): Applied {
    return inBatch(state, (draft) => {
        let next: Applied = Right(draft);
        for (const change of changes) {
            next = next.chain((current) => applyChange(current, change));
        }
        return next;
    });
}

/** Confirms a plan, unless that was done before or what it touches has moved on. */
export function confirmPlan(state: FleetState, plan: ConfirmedPlan, record: CommandRecord): Applied {
    if (isConfirmed(state, plan.id)) {
        return reject(`plan ${plan.id} is confirmed already`);
    }
    // A forgotten plan could be confirmed a second time and its work be done twice; operators would see an instance
    // rebooted or moved again. A plan as old as one that was forgotten is therefore refused.
    if (plan.madeAtRevision < state.plansForgottenRevision) {
        return reject(`plan ${plan.id} is older than the plans that are remembered; make it again`);
    }
    const movedOn = Object.entries(plan.touches)
        .filter(([touched, digest]) => digestTouched(state, touched) !== digest)
        .map(([touched]) => touched);
    if (movedOn.length > 0) {
        return Left({ kind: "rejected", detail: `changed since the plan was made: ${movedOn.join(", ")}`, movedOn });
    }
    const clash = findClash(state, plan);
    if (clash !== undefined) {
        return reject(clash);
    }
    return applyChanges(state, plan.changes)
        .chain((changed) => checkWork(changed, plan))
        .map((changed) => forgetOldPlans(setPlan(changed, createPlanState(state, plan, record))));
}

/** True where the plan was confirmed at some time, also when it has ended since. */
export function isConfirmed(state: FleetState, id: string): boolean {
    return state.plans[id] !== undefined || state.endedPlans[id] !== undefined;
}

/** Pauses, resumes or cancels. */
export function setPlanStatus(
    state: FleetState,
    id: string,
    kind: "pausePlan" | "resumePlan" | "cancelPlan",
    { by, atMs, reason }: CommandRecord,
): Applied {
    const plan = state.plans[id];
    if (plan === undefined) {
        return reject(`there is no plan ${id}`);
    }
    if (plan.status.kind === "finished" || plan.status.kind === "cancelled") {
        return reject(`plan ${id} is ${plan.status.kind}`);
    }
    const statuses = {
        pausePlan: { kind: "paused", by, atMs },
        resumePlan: { kind: "running" },
        cancelPlan: { kind: "cancelled", by, atMs },
    } as const satisfies Record<typeof kind, PlanStatus>;
    const status = statuses[kind];
    if (status.kind === plan.status.kind) {
        return reject(`plan ${id} is ${status.kind} already`);
    }
    const changed: PlanState = {
        ...plan,
        status,
        recentFailures: kind === "resumePlan" ? 0 : plan.recentFailures,
        waiting: kind === "cancelPlan" ? {} : plan.waiting,
        lastStepAtMs: atMs,
    };
    return Right(setPlan(state, addHistory(changed, { atMs, by, what: status.kind, reason })));
}

function createPlanState(state: FleetState, plan: ConfirmedPlan, { by, atMs }: CommandRecord): PlanState {
    const isWorkless = Object.keys(plan.work).length === 0 && plan.afterwards.length === 0;
    return {
        id: plan.id,
        by,
        reason: plan.reason,
        confirmedAtMs: atMs,
        confirmedAtRevision: state.revision + 1,
        policy: plan.policy,
        status: isWorkless ? { kind: "finished", atMs } : { kind: "running" },
        waiting: plan.work,
        active: [],
        afterwards: plan.afterwards,
        counts: { done: 0, failed: 0, skipped: 0 },
        recentFailures: 0,
        returned: {},
        lastStepAtMs: atMs,
        history: [{ atMs, by, what: "confirmed", reason: plan.reason }],
    };
}

/** Two plans that would move or remove the same instance cannot both be done. */
function findClash(state: FleetState, plan: ConfirmedPlan): string | undefined {
    for (const other of Object.values(state.plans)) {
        for (const [name, item] of Object.entries(plan.work)) {
            const planned = other.waiting[name] ?? readActiveItem(state, other, name);
            if (item.kind !== "maintain" && planned !== undefined && planned.kind !== "maintain") {
                return `plan ${other.id} has yet to ${planned.kind} instance ${name}`;
            }
        }
    }
    return undefined;
}

function readActiveItem(state: FleetState, plan: PlanState, name: string) {
    const instance = state.instances[name]?.state;
    return instance !== undefined && "plan" in instance && instance.plan === plan.id ? instance.item : undefined;
}

function checkWork(state: FleetState, plan: ConfirmedPlan): Applied {
    for (const [name, item] of Object.entries(plan.work)) {
        const instance = state.instances[name];
        if (instance === undefined) {
            return reject(`there is no instance ${name}`);
        }
        if (item.kind === "move" && state.pools[item.to] === undefined) {
            return reject(`there is no pool ${item.to}`);
        }
        if (item.kind === "move" && instance.pool !== item.from) {
            return reject(`instance ${name} is in pool ${instance.pool}, not in ${item.from}`);
        }
    }
    return Right(state);
}

function reject(detail: string): Applied {
    return Left({ kind: "rejected", detail });
}
