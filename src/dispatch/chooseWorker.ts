import type { IndexedPool } from "../pools";
import type { Instance } from "../state";
import type { TaskSize } from "../workers";
import type { WorkerHealth } from "./createWorkerHealth";
import type { WorkerLoad, WorkerLoads } from "./createWorkerLoads";

export interface ChooseWorkerOptions {
    readonly loads: WorkerLoads;
    readonly health: WorkerHealth;
    /** Maximum number of tasks of this entry on one worker: the entry's share of the worker's connections. */
    readonly maxTasksPerWorker: number;
    readonly isLeaving: (instance: string) => boolean;
    readonly isZoneReachable: (zone: string) => boolean;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    readonly random: () => number;
}

/**
 * Result of placing a task.
 *
 * - `chosen`: the task may go to this worker.
 * - `full`: no eligible worker of the pool has a free slot.
 * - `tooLarge`: slots are free, but no worker with a free slot has enough free resources.
 * - `noneLeft`: every worker of the pool is excluded, leaving, ejected, or unreachable.
 */
export type Choice =
    | { readonly kind: "chosen"; readonly instance: Instance; readonly reason: string; readonly candidates: number; }
    | { readonly kind: "full" | "tooLarge" | "noneLeft"; };

/** Requirements for the worker; without a size, any worker with a free slot qualifies. */
export interface PlacementRequest {
    readonly size?: TaskSize;
    readonly excludedInstances?: ReadonlySet<string>;
    /** Only a repeatable task is used to probe a worker that was ejected. */
    readonly isRepeatable?: boolean;
}

type Availability = "free" | "full" | "tooLarge" | "out";

/**
 * Chooses the better of two random free workers in the nearest zone that has a free worker (power of two choices).
 *
 * All entries see the same delayed reports. If each chose the least loaded worker, all would choose the same one, and
 * it would refuse most of them as busy. Two random choices spread the entries over the workers.
 */
export function chooseWorker(pool: IndexedPool, wanted: PlacementRequest, opts: ChooseWorkerOptions): Choice {
    const seen = { full: false, tooLarge: false };

    function checkAvailability(instance: Instance): Availability {
        if (wanted.excludedInstances?.has(instance.name) === true || opts.isLeaving(instance.name)) {
            return "out";
        }
        if (opts.loads.isAvoided(instance)) {
            return "out";
        }
        const load = opts.loads.of(instance.name);
        const health = opts.health.state(instance.name);
        if (health.kind === "ejected") {
            return "out";
        }
        if (health.kind === "probing" && (load.ownTasks > 0 || wanted.isRepeatable === false)) {
            return "full";
        }
        if (load.ownTasks >= opts.maxTasksPerWorker || load.ownTasks + load.otherTasks >= instance.slots) {
            return "full";
        }
        return wanted.size === undefined || hasFreeCapacity(instance, load, wanted.size) ? "free" : "tooLarge";
    }

    function findAvailable(instances: readonly Instance[], start: number, except?: Instance): Instance | undefined {
        for (let step = 0; step < instances.length; step++) {
            const instance = instances[(start + step) % instances.length]!;
            if (instance === except) {
                continue;
            }
            const availability = checkAvailability(instance);
            if (availability === "free") {
                return instance;
            }
            seen.full ||= availability === "full";
            seen.tooLarge ||= availability === "tooLarge";
        }
        return undefined;
    }

    /**
     * Returns a score; lower is better. A worker being probed comes first, because otherwise it might never get a task.
     */
    function score(instance: Instance): number {
        if (opts.health.state(instance.name).kind === "probing") {
            return -1;
        }
        const load = opts.loads.of(instance.name);
        return (load.ownTasks + load.otherTasks) / instance.slots + opts.health.failureRate(instance.name);
    }

    for (const { zone, instances } of pool.serving) {
        if (!opts.isZoneReachable(zone)) {
            continue;
        }
        const start = Math.floor(opts.random() * instances.length);
        const first = findAvailable(instances, start);
        if (first !== undefined) {
            const second = findAvailable(instances, Math.floor(opts.random() * instances.length), first);
            const instance = second !== undefined && score(second) < score(first) ? second : first;
            const reason = second === undefined
                ? "the only free worker in zone"
                : "the less loaded of two workers in zone";
            return { kind: "chosen", instance, reason: `${reason} ${zone}`, candidates: instances.length };
        }
    }
    return { kind: seen.tooLarge ? "tooLarge" : seen.full ? "full" : "noneLeft" };
}

function hasFreeCapacity({ capacity }: Instance, load: WorkerLoad, size: TaskSize): boolean {
    return load.ownProcessors + load.otherProcessors + size.processors <= capacity.processors
        && load.ownMemoryMb + load.otherMemoryMb + size.memoryMb <= capacity.memoryMb
        && load.ownAccelerators + load.otherAccelerators + size.accelerators <= capacity.accelerators;
}
