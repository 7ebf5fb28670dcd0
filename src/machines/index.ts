/** The fleet's machines: moves between pools, maintenance in waves, and the orders for both. */
export { canDeferMaintenance } from "./canDeferMaintenance";
export { chooseEntitlements, type Entitlements } from "./chooseEntitlements";
export { chooseMaintenance, type MaintenanceChoice } from "./chooseMaintenance";
export {
    chooseMoves,
    findShortage,
    type IdleMachine,
    minMissingShare,
    type MoveChoice,
    type MoveOptions,
    type PoolDemand,
} from "./chooseMoves";
export { chooseReclaims, type ReclaimCandidate, type ReclaimOptions } from "./chooseReclaims";
export { type ArrivedWork, createDemandMeter, type DemandMeter } from "./createDemandMeter";
export { createHedgedMachineApi, type HedgedMachineApiOptions } from "./createHedgedMachineApi";
export { createMachineOrders, type MachineOrder, type MachineOrders, machineOrdersKey } from "./createMachineOrders";
export { createNeedLimits, type NeedLimits } from "./createNeedLimits";
export { estimateArrivals } from "./estimateArrivals";
export { forecastNeedCpuMillis, type NeedInput } from "./forecastNeedCpuMillis";
export * from "./machines";
