import type { UpperLimit } from "../state";
import type { TaskSize } from "../workers";

/**
 * Resource amounts as integers, so that sums are exact in any order.
 * Processors are counted in thousandths. A task's size is rounded up, a limit is rounded down.
 */
export interface Units {
    readonly tasks: number;
    readonly milliProcessors: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}

export const unitNames = ["tasks", "milliProcessors", "memoryMb", "accelerators"] as const;
export type UnitName = typeof unitNames[number];

export const zeroUnits: Units = { tasks: 0, milliProcessors: 0, memoryMb: 0, accelerators: 0 };

/** Absorbs the floating-point error of products such as 0.29 * 1000. It is far below one thousandth of a processor. */
const roundingTolerance = 1e-6;

export function mapUnits(pick: (name: UnitName) => number): Units {
    return {
        tasks: pick("tasks"),
        milliProcessors: pick("milliProcessors"),
        memoryMb: pick("memoryMb"),
        accelerators: pick("accelerators"),
    };
}

export function toTaskUnits(size: TaskSize): Units {
    return {
        tasks: 1,
        milliProcessors: Math.ceil(size.processors * 1000 - roundingTolerance),
        memoryMb: Math.ceil(size.memoryMb),
        accelerators: Math.ceil(size.accelerators),
    };
}

export function toLimitUnits(limit: UpperLimit): Units {
    return {
        tasks: Math.floor(limit.tasks),
        milliProcessors: Math.floor(limit.processors * 1000 + roundingTolerance),
        memoryMb: Math.floor(limit.memoryMb),
        accelerators: Math.floor(limit.accelerators),
    };
}

export function addUnits(a: Units, b: Units): Units {
    return mapUnits((name) => a[name] + b[name]);
}

/** Amounts of the result may be negative. */
export function subtractUnits(a: Units, b: Units): Units {
    return mapUnits((name) => a[name] - b[name]);
}

export function minUnits(a: Units, b: Units): Units {
    return mapUnits((name) => Math.min(a[name], b[name]));
}

export function maxUnits(a: Units, b: Units): Units {
    return mapUnits((name) => Math.max(a[name], b[name]));
}

/** Replaces negative amounts by 0. */
export function clampUnits(a: Units): Units {
    return maxUnits(a, zeroUnits);
}

export function sumUnits(all: Iterable<Units>): Units {
    let sum = zeroUnits;
    for (const units of all) {
        sum = addUnits(sum, units);
    }
    return sum;
}

export function fitsWithin(a: Units, capacity: Units): boolean {
    return unitNames.every((name) => a[name] <= capacity[name]);
}

export function isZeroUnits(a: Units): boolean {
    return unitNames.every((name) => a[name] === 0);
}

export function areEqualUnits(a: Units, b: Units): boolean {
    return unitNames.every((name) => a[name] === b[name]);
}
