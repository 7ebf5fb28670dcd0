/** The fleet's machines: moves between pools, maintenance in waves, and the orders for both. */
export { canDeferMaintenance } from "./canDeferMaintenance";
export { chooseMaintenance, type MaintenanceChoice } from "./chooseMaintenance";
export {
    chooseMoves,
    findShortage,
    type IdleMachine,
    minMissingShare,
    type MoveChoice,
    type PoolDemand,
} from "./chooseMoves";
export { type ArrivedWork, createDemandMeter, type DemandMeter } from "./createDemandMeter";
export { createMachineOrders, type MachineOrder, type MachineOrders } from "./createMachineOrders";
export { estimateArrivals } from "./estimateArrivals";
export { forecastNeedCpuMillis, type NeedInput } from "./forecastNeedCpuMillis";
export * from "./machines";
