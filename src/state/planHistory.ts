import type { HistoryLine, PlanState } from "./plan";
import type { FleetState } from "./state";

const maxHistoryLines = 24;
const maxHistoryLinesOfEnded = 6;

/** Adds a line to the plan's bounded history. */
export function addHistory(plan: PlanState, line: HistoryLine): PlanState {
    const max = plan.status.kind === "finished" ? maxHistoryLinesOfEnded : maxHistoryLines;
    return { ...plan, history: [...plan.history, line].slice(-max) };
}

export function setPlan(state: FleetState, plan: PlanState): FleetState {
    return { ...state, plans: { ...state.plans, [plan.id]: plan } };
}
