import type { IndexedPool } from "../pools";
import type { Instance } from "../state";
import type { TaskSize } from "../workers";
import type { WorkerHealth } from "./createWorkerHealth";
import type { WorkerLoad, WorkerLoads } from "./createWorkerLoads";

export interface ChooseWorkerOptions {
    readonly loads: WorkerLoads;
    readonly health: WorkerHealth;
    /** Most tasks of this entry on one worker: its part of the worker's connections. */
    readonly tasksPerWorker: number;
    readonly isLeaving: (instance: string) => boolean;
    readonly isZoneReachable: (zone: string) => boolean;
    /** From 0 up to 1. */
    readonly random: () => number;
}

/**
 * Where a task may go.
 *
 * - `chosen`: this worker.
 * - `full`: no worker of the pool has a free slot.
 * - `tooLarge`: slots are free, but none with room for this size.
 * - `noneLeft`: every worker of the pool has been tried, is leaving, set aside or cannot be reached.
 */
export type Choice =
    | { readonly kind: "chosen"; readonly instance: Instance; readonly reason: string; readonly candidates: number; }
    | { readonly kind: "full" | "tooLarge" | "noneLeft"; };

/** What is asked for; without a size, any worker with a free slot will do. */
export interface Wanted {
    readonly size?: TaskSize;
    readonly tried?: ReadonlySet<string>;
    /** Only a task that may run again is used to try a worker that was set aside. */
    readonly isRepeatable?: boolean;
}

type Verdict = "free" | "full" | "tooLarge" | "out";

/**
 * Takes the better of two random workers of the nearest zone that has any free.
 *
 * All entries see the same late reports; if each took the least loaded worker, they would all choose the same one,
 * which then refuses most of them as busy. Two random choices keep them apart.
 */
export function chooseWorker(pool: IndexedPool, wanted: Wanted, opts: ChooseWorkerOptions): Choice {
    const seen = { full: false, tooLarge: false };

    function judge(instance: Instance): Verdict {
        if (wanted.tried?.has(instance.name) === true || opts.isLeaving(instance.name)) {
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
        if (load.ownTasks >= opts.tasksPerWorker || load.ownTasks + load.otherTasks >= instance.slots) {
            return "full";
        }
        return wanted.size === undefined || hasRoom(instance, load, wanted.size) ? "free" : "tooLarge";
    }

    function findFree(instances: readonly Instance[], start: number, except?: Instance): Instance | undefined {
        for (let step = 0; step < instances.length; step++) {
            const instance = instances[(start + step) % instances.length]!;
            if (instance === except) {
                continue;
            }
            const verdict = judge(instance);
            if (verdict === "free") {
                return instance;
            }
            seen.full ||= verdict === "full";
            seen.tooLarge ||= verdict === "tooLarge";
        }
        return undefined;
    }

    /** Lower is better; a worker that waits to be tried again goes first, or it would never be. */
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
        const one = findFree(instances, start);
        if (one !== undefined) {
            const two = findFree(instances, Math.floor(opts.random() * instances.length), one);
            const instance = two !== undefined && score(two) < score(one) ? two : one;
            const reason = two === undefined ? "the only one free in the zone" : "less loaded of two in the zone";
            return { kind: "chosen", instance, reason: `${reason} ${zone}`, candidates: instances.length };
        }
    }
    return { kind: seen.tooLarge ? "tooLarge" : seen.full ? "full" : "noneLeft" };
}

function hasRoom({ capacity }: Instance, load: WorkerLoad, size: TaskSize): boolean {
    return load.ownProcessors + load.otherProcessors + size.processors <= capacity.processors
        && load.ownMemoryMb + load.otherMemoryMb + size.memoryMb <= capacity.memoryMb
        && load.ownAccelerators + load.otherAccelerators + size.accelerators <= capacity.accelerators;
}
