/** The fleet's machines: moves between pools, maintenance in waves, and the orders for both. */
export {
    chooseMoves,
    findShortage,
    type IdleMachine,
    leastMissingShare,
    type MoveChoice,
    type PoolDemand,
} from "./chooseMoves";
export { chooseUpkeep, type UpkeepChoice } from "./chooseUpkeep";
export { type ArrivedWork, createDemandMeter, type DemandMeter } from "./createDemandMeter";
export { createMachineOrders, type MachineOrder, type MachineOrders } from "./createMachineOrders";
export { estimateArrivals } from "./estimateArrivals";
export { forecastNeedCpuMillis, type NeedInput } from "./forecastNeed";
export { hasSlack } from "./hasSlack";
export * from "./machines";
