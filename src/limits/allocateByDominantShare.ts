import { addUnits, fitsWithin, isZeroUnits, minUnits, subtractUnits, unitNames, type Units, zeroUnits } from "./units";

/** What one holder needs from the capacity that is divided. */
export interface Demand {
    readonly boot: string;
    /** What it has already. Holders with a smaller share are served first. */
    readonly held: Units;
    readonly wants: Units;
    /**
     * Amount that makes one more task possible. Capacity is granted in whole steps, which avoids unusable fragments.
     */
    readonly firstStep: Units;
    readonly step: Units;
}

/** Bounds the work of one division. Larger demands are granted in larger steps. */
const maxSteps = 2000;

interface Allocation {
    readonly demand: Demand;
    given: Units;
    isDone: boolean;
}

/**
 * Divides `capacity` by dominant resource fairness: grants it step by step, always to the holder with the smallest
 * dominant share of `limit`. Returns the amount granted to each boot.
 */
export function allocateByDominantShare(
    capacity: Units,
    limit: Units,
    demands: readonly Demand[],
): ReadonlyMap<string, Units> {
    const allocations = demands.map((demand): Allocation => ({ demand, given: zeroUnits, isDone: false }));
    const total = demands.reduce((sum, { wants }) => sum + wants.tasks, 0);
    const scale = Math.max(1, Math.ceil(total / maxSteps));
    let left = capacity;
    for (;;) {
        const next = findLeastAllocated(allocations, limit);
        if (next === undefined) {
            break;
        }
        const taken = nextStep(next, left, scale) ?? nextStep(next, left, 1);
        if (taken === undefined) {
            next.isDone = true;
            continue;
        }
        next.given = addUnits(next.given, taken);
        left = subtractUnits(left, taken);
    }
    return new Map(allocations.map(({ demand, given }) => [demand.boot, given]));
}

function nextStep({ demand, given }: Allocation, left: Units, scale: number): Units | undefined {
    const isFirst = isZeroUnits(given);
    const step = isFirst ? demand.firstStep : multiply(demand.step, scale);
    const wanted = minUnits(step, subtractUnits(demand.wants, given));
    return isZeroUnits(wanted) || !fitsWithin(wanted, left) ? undefined : wanted;
}

function multiply(step: Units, scale: number): Units {
    let product = zeroUnits;
    for (let at = 0; at < scale; at++) {
        product = addUnits(product, step);
    }
    return product;
}

function findLeastAllocated(allocations: readonly Allocation[], limit: Units): Allocation | undefined {
    let least: { allocation: Allocation; share: number; } | undefined;
    for (const allocation of allocations) {
        if (!allocation.isDone) {
            const share = dominantShareOf(addUnits(allocation.demand.held, allocation.given), limit);
            if (least === undefined || share < least.share) {
                least = { allocation, share };
            }
        }
    }
    return least?.allocation;
}

/** The dominant share: the largest part of the limit in any dimension. */
function dominantShareOf(units: Units, limit: Units): number {
    return Math.max(...unitNames.map((name) => limit[name] === 0 ? 0 : units[name] / limit[name]));
}
