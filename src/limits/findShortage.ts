import { fillDemands } from "./fillDemands";
import type { Ledger, TeamSlices } from "./ledger";
import type { TeamReport } from "./messages";
import { lackOf, type LedgerInput, limitOf } from "./planLedger";
import {
    addUnits,
    clampUnits,
    fitsWithin,
    isNoUnits,
    mapUnits,
    maxUnits,
    noUnits,
    subtractUnits,
    sumUnits,
    type Units,
} from "./units";

/** What to ask the holders of a team for. */
export interface Shortage {
    readonly team: string;
    readonly give: Units;
    /** By boot; empty where idle room alone is asked for. */
    readonly ceilings: ReadonlyMap<string, Units>;
    /** False where only an even spread is asked for, which can wait. */
    readonly isUrgent: boolean;
}

const askFactor = 1.25;
/** An entry with less than this part of its fair division takes room that others use. */
const leastPart = 0.5;

/** Finds the teams for which a holder waits, which hold more than their limit, or whose room is spread unevenly. */
export function findShortages(ledger: Ledger, input: LedgerInput): readonly Shortage[] {
    return Object.entries(ledger.teams).flatMap(([team, slices]) => findShortage(team, slices, input) ?? []);
}

function findShortage(team: string, { slices }: TeamSlices, input: LedgerInput): Shortage | undefined {
    const limit = limitOf(input.state, team);
    const held = sumUnits(Object.values(slices));
    const lacks = input.eligible.map((boot) => lackOf(input.reports.get(boot)?.[team], slices[boot] ?? noUnits));
    const lack = sumUnits(lacks);
    const excess = clampUnits(subtractUnits(held, limit));
    const give = maxUnits(clampUnits(subtractUnits(lack, clampUnits(subtractUnits(limit, held)))), excess);
    if (!isNoUnits(give)) {
        return { team, give: addMargin(give), ceilings: findCeilings(team, slices, limit, input), isUrgent: true };
    }
    const uneven = findUnevenness(team, limit, slices, input);
    return isNoUnits(uneven) ? undefined : { team, give: uneven, ceilings: new Map(), isUrgent: false };
}

/** The fair division of the limit by demand, where the demand is above it. */
function findCeilings(
    team: string,
    slices: TeamSlices["slices"],
    limit: Units,
    { reports, eligible }: LedgerInput,
): ReadonlyMap<string, Units> {
    const reachable = new Set(eligible);
    const beyondReach = sumUnits(
        Object.entries(slices).flatMap(([boot, units]) => reachable.has(boot) ? [] : [units]),
    );
    const room = clampUnits(subtractUnits(limit, beyondReach));
    const demands = eligible.flatMap((boot) => {
        const report = reports.get(boot)?.[team];
        return report === undefined ? [] : [{ boot, wants: addUnits(report.used, report.waiting), report }];
    });
    const wanted = sumUnits(demands.map(({ wants }) => wants));
    const heldInReach = sumUnits(eligible.map((boot) => slices[boot] ?? noUnits));
    if (fitsWithin(wanted, room) && fitsWithin(heldInReach, room)) {
        return new Map();
    }
    const filled = fillDemands(
        room,
        limit,
        demands.filter(({ wants }) => !isNoUnits(wants)).map(({ boot, wants, report }) => ({
            boot,
            held: noUnits,
            wants,
            firstStep: typicalTask(report),
            step: typicalTask(report),
        })),
    );
    const isUnfair = demands.some(({ boot }) =>
        (slices[boot] ?? noUnits).tasks < (filled.get(boot) ?? noUnits).tasks * leastPart
    );
    // Room in use serves its team wherever it is; each move of it would leave it idle for a while.
    if (!isUnfair && fitsWithin(heldInReach, room)) {
        return new Map();
    }
    return new Map(eligible.flatMap((boot) => {
        const ceiling = filled.get(boot) ?? noUnits;
        return fitsWithin(slices[boot] ?? noUnits, ceiling) ? [] : [[boot, ceiling]];
    }));
}

function typicalTask({ used, waiting, next }: TeamReport): Units {
    const total = addUnits(used, waiting);
    const average = mapUnits((name) => Math.ceil(total[name] / Math.max(1, total.tasks)));
    return isNoUnits(next) ? average : maxUnits(average, next);
}

/** A boot that joined has nothing yet and could serve nothing once it is cut off; gives what it lacks. */
function findUnevenness(team: string, limit: Units, slices: TeamSlices["slices"], input: LedgerInput): Units {
    const { reports, eligible } = input;
    const usedAt = (boot: string) => {
        const report = reports.get(boot)?.[team];
        return report === undefined ? 0 : report.used.tasks + report.waiting.tasks;
    };
    if (eligible.length < 2) {
        return noUnits;
    }
    const reachable = eligible.reduce((sum, boot) => sum + (slices[boot] ?? noUnits).tasks, 0);
    const used = eligible.reduce((sum, boot) => sum + usedAt(boot), 0);
    const level = Math.floor((reachable - used) / eligible.length);
    const least = Math.min(level, ...eligible.map((boot) => (slices[boot] ?? noUnits).tasks - usedAt(boot)));
    const missing = least * 2 < level ? level - Math.max(0, least) : 0;
    return missing === 0 ? noUnits : mapUnits((name) => Math.floor(limit[name] * missing / limit.tasks));
}

/** Some more than is lacking now, since more tasks come while room moves. */
function addMargin(give: Units): Units {
    return mapUnits((name) => Math.ceil(give[name] * askFactor));
}
