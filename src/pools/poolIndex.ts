import type { Instance, UpperLimit } from "../state";
import type { TaskSize } from "../workers";

/** Serving instances of one pool in one availability zone. */
export interface ZoneInstances {
    readonly zone: string;
    readonly instances: readonly Instance[];
}

export interface IndexedPool {
    readonly name: string;
    /** Serving instances by zone: the own zone, then the own region's, then the rest. */
    readonly serving: readonly ZoneInstances[];
    readonly servingCount: number;
    /** Slots (as `tasks`) and resources of the serving instances together. */
    readonly capacity: UpperLimit;
    /** True where some instance of the pool, in whatever state, could hold a task of this size alone. */
    canEverFit(size: TaskSize): boolean;
    /** The instance with most memory, for messages; `undefined` in an empty pool. */
    readonly largest: Instance | undefined;
}

export interface PoolIndex {
    find(pool: string): IndexedPool | undefined;
    /** The instance as the newest known configuration has it. */
    findInstance(name: string): Instance | undefined;
    /** Revision that the index was made from; 0 where no configuration is known. */
    revision(): number;
}
