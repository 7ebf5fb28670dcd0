/** Index of instances by pool, built once for each revision of the configuration. */
export { createPoolIndex, type PoolIndexOptions } from "./createPoolIndex";
export type { IndexedPool, PoolIndex, ZoneInstances } from "./poolIndex";
