import type { PlanState } from "./plan";
import type { FleetState } from "./state";

/** Most plans kept with all they have done; plans that have not ended are always kept. */
const maxKeptPlans = 32;
/** Most ids kept of plans that have ended, so that confirming one again does nothing. */
const maxKeptIds = 512;

/** Bounds what the state remembers of plans that have ended; the oldest go first. */
export function forgetOldPlans(state: FleetState): FleetState {
    const excess = Object.keys(state.plans).length - maxKeptPlans;
    const ended = excess <= 0 ? [] : Object.values(state.plans).filter(hasEnded);
    const leaving = ended.sort((a, b) => a.confirmedAtRevision - b.confirmedAtRevision).slice(0, Math.max(0, excess));
    if (leaving.length === 0) {
        return state;
    }
    const left = leaving.map(({ id, confirmedAtRevision }) => [id, confirmedAtRevision] as const);
    const ids = [...Object.entries(state.endedPlans), ...left].sort(([, a], [, b]) => a - b);
    const forgotten = ids.slice(0, Math.max(0, ids.length - maxKeptIds));
    const leavingIds = new Set(leaving.map(({ id }) => id));
    return {
        ...state,
        plans: Object.fromEntries(Object.entries(state.plans).filter(([id]) => !leavingIds.has(id))),
        endedPlans: Object.fromEntries(ids.slice(forgotten.length)),
        plansForgottenRevision: Math.max(state.plansForgottenRevision, ...forgotten.map(([, revision]) => revision)),
    };
}

function hasEnded({ status, active }: PlanState): boolean {
    return (status.kind === "finished" || status.kind === "cancelled") && active.length === 0;
}
