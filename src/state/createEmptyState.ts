import type { FleetState } from "./state";

export function createEmptyState(): FleetState {
    return {
        revision: 0,
        pools: {},
        instances: {},
        teams: {},
        operators: {},
        plans: {},
        endedPlans: {},
        plansForgottenRevision: 0,
    };
}
