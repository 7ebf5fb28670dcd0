import type { TaskSize } from "../workers";
import type { ShareAmounts } from "./shares";

/** Running totals of amounts. */
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

/** Returns the largest fraction that the amounts take of any resource. */
export function dominantShare(amounts: ShareAmounts, capacity: ShareAmounts): number {
    return Math.max(
        fractionOf(amounts.tasks, capacity.tasks),
        fractionOf(amounts.processors, capacity.processors),
        fractionOf(amounts.memoryMb, capacity.memoryMb),
        fractionOf(amounts.accelerators, capacity.accelerators),
    );
}

function fractionOf(amount: number, whole: number): number {
    return whole > 0 ? amount / whole : 0;
}
