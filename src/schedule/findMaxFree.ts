import type { Step } from "../submissions";
import { acceptsNewWork } from "./placeTask";
import type { Worker } from "./schedulerState";

/** Maximum free capacity of any one worker of a pool, in each dimension separately. */
export interface MaxFree {
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}

/**
 * Finds the maximum free capacity in a pool. In a busy period nearly every task that is tried can't be placed, and a
 * comparison with the maximum is enough to tell. Checking a few hundred workers for each such task would take most of
 * a round. The maximum stays an upper bound, because free capacity only shrinks during a round.
 */
export function findMaxFree(workers: readonly Worker[]): MaxFree {
    let [cpuMillis, memoryMb, accelerators] = [0, 0, 0];
    for (const worker of workers) {
        if (acceptsNewWork(worker)) {
            const { capacity, used } = worker;
            cpuMillis = Math.max(cpuMillis, capacity.cpuMillis - used.cpuMillis);
            memoryMb = Math.max(memoryMb, capacity.memoryMb - used.memoryMb);
            accelerators = Math.max(accelerators, capacity.accelerators - used.accelerators);
        }
    }
    return { cpuMillis, memoryMb, accelerators };
}

export function fitsStep({ size, isFiller }: Step, maxFree: MaxFree): boolean {
    return (isFiller || size.cpuMillis <= maxFree.cpuMillis) && size.memoryMb <= maxFree.memoryMb
        && size.accelerators <= maxFree.accelerators;
}
