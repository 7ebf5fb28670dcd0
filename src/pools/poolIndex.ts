import type { Instance, UpperLimit } from "../state";
import type { TaskSize } from "../workers";

/** Serving instances of one pool in one availability zone. */
export interface ZoneInstances {
    readonly zone: string;
    readonly instances: readonly Instance[];
}

/** A pool with its instances, as of one revision of the configuration. */
export interface IndexedPool {
    readonly name: string;
    /** Serving instances by zone: this entry's zone first, then the other zones of its region, then all others. */
    readonly serving: readonly ZoneInstances[];
    readonly servingCount: number;
    /** Total slots (as `tasks`) and resources of the serving instances. */
    readonly capacity: UpperLimit;
    /** Returns true if an empty instance of the pool, in any state, has the capacity for a task of this size. */
    canEverFit(size: TaskSize): boolean;
    /** The instance with the most memory, for error messages; `undefined` in an empty pool. */
    readonly largest: Instance | undefined;
}

export interface PoolIndex {
    find(pool: string): IndexedPool | undefined;
    /** Returns the instance as of the newest known configuration. */
    findInstance(name: string): Instance | undefined;
    /** Returns the revision of the newest known configuration; 0 if none is known. */
    revision(): number;
}
