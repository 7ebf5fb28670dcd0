import type { TaskSize } from "../workers";
import type { ShareAmounts } from "./shares";

/** Amounts that are counted up and down. */
export type MutableAmounts = { -readonly [K in keyof ShareAmounts]: ShareAmounts[K]; };

export function createAmounts(): MutableAmounts {
    return { tasks: 0, processors: 0, memoryMb: 0, accelerators: 0 };
}

export function addAmounts(to: MutableAmounts, amounts: ShareAmounts, sign: 1 | -1): void {
    to.tasks += sign * amounts.tasks;
    to.processors += sign * amounts.processors;
    to.memoryMb += sign * amounts.memoryMb;
    to.accelerators += sign * amounts.accelerators;
}

export function addSize(to: MutableAmounts, size: TaskSize, sign: 1 | -1): void {
    to.tasks += sign;
    to.processors += sign * size.processors;
    to.memoryMb += sign * size.memoryMb;
    to.accelerators += sign * size.accelerators;
}

/** The largest of the parts that the amounts take of each resource (dominant share). */
export function dominantShare(amounts: ShareAmounts, capacity: ShareAmounts): number {
    return Math.max(
        part(amounts.tasks, capacity.tasks),
        part(amounts.processors, capacity.processors),
        part(amounts.memoryMb, capacity.memoryMb),
        part(amounts.accelerators, capacity.accelerators),
    );
}

function part(amount: number, whole: number): number {
    return whole > 0 ? amount / whole : 0;
}
