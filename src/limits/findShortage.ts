import { allocateByDominantShare } from "./allocateByDominantShare";
import type { Ledger, TeamSlices } from "./ledger";
import type { TeamReport } from "./messages";
import { type LedgerInput, limitOf, unmetDemand } from "./planLedger";
import {
    addUnits,
    clampUnits,
    fitsWithin,
    isZeroUnits,
    mapUnits,
    maxUnits,
    subtractUnits,
    sumUnits,
    type Units,
    zeroUnits,
} from "./units";

/** Capacity to request from the holders of a team's limit. */
export interface Shortage {
    readonly team: string;
    readonly give: Units;
    /** Ceilings by boot. Empty if only idle capacity is requested. */
    readonly ceilings: ReadonlyMap<string, Units>;
    /** False if the request only evens out idle capacity, which can wait. */
    readonly isUrgent: boolean;
}

const askMarginFactor = 1.25;
/** An entry with less than this part of its fair division gets capacity that others use. */
const minFairPart = 0.5;

/** Finds teams with unmet demand, with slices above the limit, or with unevenly spread idle capacity. */
export function findShortages(ledger: Ledger, input: LedgerInput): readonly Shortage[] {
    return Object.entries(ledger.teams).flatMap(([team, slices]) => findShortage(team, slices, input) ?? []);
}

function findShortage(team: string, { slices }: TeamSlices, input: LedgerInput): Shortage | undefined {
    const limit = limitOf(input.state, team);
    const held = sumUnits(Object.values(slices));
    const unmetDemands = input.eligible.map((boot) =>
        unmetDemand(input.reports.get(boot)?.[team], slices[boot] ?? zeroUnits)
    );
    const totalUnmet = sumUnits(unmetDemands);
    const excess = clampUnits(subtractUnits(held, limit));
    const give = maxUnits(clampUnits(subtractUnits(totalUnmet, clampUnits(subtractUnits(limit, held)))), excess);
    if (!isZeroUnits(give)) {
        return { team, give: addMargin(give), ceilings: findCeilings(team, slices, limit, input), isUrgent: true };
    }
    const uneven = findUnevenness(team, limit, slices, input);
    return isZeroUnits(uneven) ? undefined : { team, give: uneven, ceilings: new Map(), isUrgent: false };
}

/** Returns the fair part of the limit for each boot that holds more, if demand or slices exceed the limit. */
function findCeilings(
    team: string,
    slices: TeamSlices["slices"],
    limit: Units,
    { reports, eligible }: LedgerInput,
): ReadonlyMap<string, Units> {
    const reachable = new Set(eligible);
    const heldOutOfReach = sumUnits(
        Object.entries(slices).flatMap(([boot, units]) => reachable.has(boot) ? [] : [units]),
    );
    const capacity = clampUnits(subtractUnits(limit, heldOutOfReach));
    const demands = eligible.flatMap((boot) => {
        const report = reports.get(boot)?.[team];
        return report === undefined ? [] : [{ boot, wants: addUnits(report.used, report.waiting), report }];
    });
    const totalDemand = sumUnits(demands.map(({ wants }) => wants));
    const heldInReach = sumUnits(eligible.map((boot) => slices[boot] ?? zeroUnits));
    if (fitsWithin(totalDemand, capacity) && fitsWithin(heldInReach, capacity)) {
        return new Map();
    }
    const filled = allocateByDominantShare(
        capacity,
        limit,
        demands.filter(({ wants }) => !isZeroUnits(wants)).map(({ boot, wants, report }) => ({
            boot,
            held: zeroUnits,
            wants,
            firstStep: typicalTask(report),
            step: typicalTask(report),
        })),
    );
    const isUnfair = demands.some(({ boot }) =>
        (slices[boot] ?? zeroUnits).tasks < (filled.get(boot) ?? zeroUnits).tasks * minFairPart
    );
    // Capacity in use serves its team at any entry, and each move would leave it idle for a while.
    if (!isUnfair && fitsWithin(heldInReach, capacity)) {
        return new Map();
    }
    return new Map(eligible.flatMap((boot) => {
        const ceiling = filled.get(boot) ?? zeroUnits;
        return fitsWithin(slices[boot] ?? zeroUnits, ceiling) ? [] : [[boot, ceiling]];
    }));
}

function typicalTask({ used, waiting, next }: TeamReport): Units {
    const total = addUnits(used, waiting);
    const average = mapUnits((name) => Math.ceil(total[name] / Math.max(1, total.tasks)));
    return isZeroUnits(next) ? average : maxUnits(average, next);
}

/**
 * Returns the amount that the boot with the least idle capacity lacks to an even spread. A boot that has just joined
 * has no capacity, so it could start no task if it were partitioned.
 */
function findUnevenness(team: string, limit: Units, slices: TeamSlices["slices"], input: LedgerInput): Units {
    const { reports, eligible } = input;
    const demandAt = (boot: string) => {
        const report = reports.get(boot)?.[team];
        return report === undefined ? 0 : report.used.tasks + report.waiting.tasks;
    };
    if (eligible.length < 2) {
        return zeroUnits;
    }
    const reachable = eligible.reduce((sum, boot) => sum + (slices[boot] ?? zeroUnits).tasks, 0);
    const used = eligible.reduce((sum, boot) => sum + demandAt(boot), 0);
    const level = Math.floor((reachable - used) / eligible.length);
    const least = Math.min(level, ...eligible.map((boot) => (slices[boot] ?? zeroUnits).tasks - demandAt(boot)));
    const missing = least * 2 < level ? level - Math.max(0, least) : 0;
    return missing === 0 ? zeroUnits : mapUnits((name) => Math.floor(limit[name] * missing / limit.tasks));
}

/** Requests more than is lacking now, because more tasks arrive while capacity moves. */
function addMargin(give: Units): Units {
    return mapUnits((name) => Math.ceil(give[name] * askMarginFactor));
}
