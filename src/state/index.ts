/** The agreed state of the fleet: pure types and the reducer that every entry applies to the same commands. */
export { applyCommand } from "./applyCommand";
export { createEmptyState } from "./createEmptyState";
export type {
    Change,
    Command,
    CommandRecord,
    FleetState,
    Instance,
    InstanceSpec,
    Pool,
    Rejection,
    Team,
    TeamKey,
    UpperLimit,
} from "./state";
