/** The fleet's machines: which pool they serve, their upkeep in waves, and the orders for both. */
export {
    chooseMoves,
    findShortage,
    type IdleMachine,
    type MoveChoice,
    type PoolDemand,
    shortageCpuMillis,
} from "./chooseMoves";
export { chooseUpkeep, type UpkeepChoice } from "./chooseUpkeep";
export { createDemandMeter, type DemandMeter } from "./createDemandMeter";
export { createMachineOrders, type MachineOrder, type MachineOrders } from "./createMachineOrders";
export { hasSlack } from "./hasSlack";
export * from "./machines";
