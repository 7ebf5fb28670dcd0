/** The agreed state of the fleet: pure types and the reducer that every entry applies to the same commands. */
export { applyCommand } from "./applyCommand";
export { isConfirmed } from "./applyPlanCommand";
export { createEmptyState } from "./createEmptyState";
export { digestTouched, writeCanonically } from "./digestTouched";
export { findDrainRefusal } from "./findDrainRefusal";
export { indexMembers } from "./instances";
export type { ConfirmedPlan, HistoryLine, PlanPolicy, PlanState, PlanStatus, WorkItem } from "./plan";
export { countFreeTokens, type PoolBudget, readPoolBudget } from "./poolBudget";
export { nameRack } from "./rack";
export type {
    Change,
    Command,
    CommandRecord,
    FleetState,
    Instance,
    InstanceSpec,
    InstanceState,
    LossCause,
    Pool,
    Rejection,
    Team,
    TeamKey,
    UpperLimit,
} from "./state";
export type { Step } from "./step";
