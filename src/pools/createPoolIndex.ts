import type { Configuration } from "../configuration";
import type { FleetState, Instance, UpperLimit } from "../state";
import type { TaskSize } from "../workers";
import type { IndexedPool, PoolIndex, ZoneInstances } from "./poolIndex";

export interface PoolIndexOptions {
    readonly region: string;
    readonly zone: string;
    readonly configuration: Pick<Configuration, "state" | "onChange">;
}

/** Creates an index that is rebuilt lazily: at the first lookup after the configuration has changed. */
export function createPoolIndex(opts: PoolIndexOptions): PoolIndex {
    let builtFrom: FleetState | undefined;
    let pools = new Map<string, IndexedPool>();

    function refresh(): void {
        const state = opts.configuration.state();
        if (state !== undefined && state !== builtFrom) {
            builtFrom = state;
            pools = indexPools(state);
        }
    }

    function indexPools(state: FleetState): Map<string, IndexedPool> {
        const members = new Map<string, Instance[]>(Object.keys(state.pools).map((name) => [name, []]));
        for (const instance of Object.values(state.instances)) {
            members.get(instance.pool)?.push(instance);
        }
        return new Map([...members].map(([name, instances]) => [name, indexPool(name, instances)]));
    }

    function indexPool(name: string, instances: readonly Instance[]): IndexedPool {
        const serving = instances.filter(({ state }) => state.kind === "serving");
        return {
            name,
            serving: groupByZone(serving),
            servingCount: serving.length,
            capacity: sumCapacity(serving),
            canEverFit: (size) => instances.some(({ capacity }) => fits(size, capacity)),
            largest: [...instances].sort((a, b) => b.capacity.memoryMb - a.capacity.memoryMb)[0],
        };
    }

    function groupByZone(instances: readonly Instance[]): readonly ZoneInstances[] {
        const zones = new Map<string, Instance[]>();
        for (const instance of instances) {
            const group = zones.get(instance.zone) ?? [];
            group.push(instance);
            zones.set(instance.zone, group);
        }
        return [...zones]
            .map(([zone, group]) => ({ zone, instances: group, distance: distanceTo(group[0]) }))
            .sort((a, b) => a.distance - b.distance);
    }

    function distanceTo(instance: Instance | undefined): number {
        if (instance?.zone === opts.zone && instance.region === opts.region) {
            return 0;
        }
        return instance?.region === opts.region ? 1 : 2;
    }

    return {
        find(pool) {
            refresh();
            return pools.get(pool);
        },
        findInstance: (name) => opts.configuration.state()?.instances[name],
        revision: () => opts.configuration.state()?.revision ?? 0,
    };
}

function sumCapacity(instances: readonly Instance[]): UpperLimit {
    const sum = { tasks: 0, processors: 0, memoryMb: 0, accelerators: 0 };
    for (const { slots, capacity } of instances) {
        sum.tasks += slots;
        sum.processors += capacity.processors;
        sum.memoryMb += capacity.memoryMb;
        sum.accelerators += capacity.accelerators;
    }
    return sum;
}

function fits(size: TaskSize, capacity: TaskSize): boolean {
    return size.processors <= capacity.processors
        && size.memoryMb <= capacity.memoryMb
        && size.accelerators <= capacity.accelerators;
}
