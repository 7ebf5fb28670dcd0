import type { FleetState } from "../state";
import { allocateByDominantShare } from "./allocateByDominantShare";
import type { Ledger, LedgerHolder, TeamSlices } from "./ledger";
import type { Release, TeamReport } from "./messages";
import { shardOf } from "./shards";
import { spreadIdleCapacity } from "./spreadIdleCapacity";
import {
    addUnits,
    areEqualUnits,
    clampUnits,
    fitsWithin,
    isZeroUnits,
    minUnits,
    subtractUnits,
    sumUnits,
    toLimitUnits,
    type Units,
    zeroUnits,
} from "./units";

/** Headroom that an entry gets before others get idle capacity, relative to its present demand. */
const demandMarginFactor = 0.5;

export interface LedgerInput {
    readonly shard: number;
    readonly state: FleetState;
    /** Recent reports of holders, by boot and team. */
    readonly reports: ReadonlyMap<string, Readonly<Record<string, TeamReport>>>;
    readonly releases: ReadonlyMap<string, Release>;
    /** Longest task lease of each boot. */
    readonly leasesMs: ReadonlyMap<string, number>;
    /** Boots whose slices may grow, ordered so that the least recently served come first. */
    readonly eligible: readonly string[];
    /** Boots that have provably ended and whose task leases have expired. */
    readonly reclaimable: ReadonlySet<string>;
}

/**
 * Computes the next value of a ledger: applies releases, removes the slices of reclaimable boots, and grants free
 * capacity. Returns the same object if nothing changes. The sum of the slices never grows past the limit.
 */
export function planLedger(ledger: Ledger, input: LedgerInput): Ledger {
    const released = applyReleases(dropEnded(ledger, input.reclaimable), input);
    // A writer that has not seen a removal would recreate a team that other writers have already dropped.
    if (input.state.revision < released.droppedRevision) {
        return released;
    }
    const names = new Set([...Object.keys(released.teams), ...teamsOf(input)]);
    const teams: Record<string, TeamSlices> = {};
    let { droppedRevision } = released;
    let isChanged = false;
    for (const team of [...names].sort()) {
        const before = released.teams[team];
        const after = planTeam(team, before, input);
        isChanged ||= after !== before;
        if (after === undefined) {
            droppedRevision = Math.max(droppedRevision, input.state.revision);
        }
        else {
            teams[team] = after;
        }
    }
    return isChanged ? withHolders({ ...released, droppedRevision, teams }, input.leasesMs) : released;
}

export function teamsOf({ state, shard }: Pick<LedgerInput, "state" | "shard">): readonly string[] {
    return Object.keys(state.teams).filter((team) => shardOf(team) === shard);
}

export function limitOf(state: FleetState, team: string): Units {
    const limit = state.teams[team]?.limit;
    return limit === undefined ? zeroUnits : toLimitUnits(limit);
}

/** Returns the amount that a holder lacks to run the tasks that wait there. */
export function unmetDemand(report: TeamReport | undefined, slice: Units): Units {
    return report === undefined || isZeroUnits(report.waiting)
        ? zeroUnits
        : clampUnits(subtractUnits(addUnits(report.used, report.waiting), slice));
}

function dropEnded(ledger: Ledger, ended: ReadonlySet<string>): Ledger {
    if (!Object.keys(ledger.holders).some((boot) => ended.has(boot))) {
        return ledger;
    }
    const keep = <T>(byBoot: Readonly<Record<string, T>>) =>
        Object.fromEntries(Object.entries(byBoot).filter(([boot]) => !ended.has(boot)));
    return {
        ...ledger,
        holders: keep(ledger.holders),
        teams: mapTeams(ledger, (slices) => ({ ...slices, slices: keep(slices.slices) })),
    };
}

function applyReleases(ledger: Ledger, input: LedgerInput): Ledger {
    let next = ledger;
    for (const [boot, release] of input.releases) {
        const holder = next.holders[boot];
        if (holder !== undefined && release.number > holder.releaseNumber) {
            next = {
                ...next,
                holders: { ...next.holders, [boot]: { ...holder, releaseNumber: release.number } },
                teams: mapTeams(next, (slices, team) => lowerSlice(slices, boot, release.keeps[team])),
            };
        }
    }
    return next;
}

function lowerSlice(team: TeamSlices, boot: string, keep: Units | undefined): TeamSlices {
    const slice = team.slices[boot];
    if (keep === undefined || slice === undefined) {
        return team;
    }
    const { [boot]: _old, ...rest } = team.slices;
    const lowered = minUnits(slice, keep);
    return { ...team, slices: isZeroUnits(lowered) ? rest : { ...rest, [boot]: lowered } };
}

function mapTeams(ledger: Ledger, edit: (slices: TeamSlices, team: string) => TeamSlices): Ledger["teams"] {
    return Object.fromEntries(Object.entries(ledger.teams).map(([team, slices]) => [team, edit(slices, team)]));
}

/** Returns `undefined` if the team can be dropped from the ledger. */
function planTeam(name: string, before: TeamSlices | undefined, input: LedgerInput): TeamSlices | undefined {
    const team = input.state.teams[name];
    if (team === undefined) {
        return before === undefined || isForgettable(before, input) ? undefined : markRemoved(before, input);
    }
    const limitRevision = team.limitRevision ?? 0;
    const current = before ?? { limitRevision, isRemoved: false, slices: {} };
    // A writer with an older configuration may still know a higher limit, and would grow slices past the lowered one.
    if (input.state.revision < current.limitRevision) {
        return before;
    }
    const withRevision = limitRevision > current.limitRevision || current.isRemoved
        ? { limitRevision: Math.max(limitRevision, current.limitRevision), isRemoved: false, slices: current.slices }
        : current;
    const slices = growSlices(name, withRevision.slices, input);
    return slices === withRevision.slices ? withRevision : { ...withRevision, slices };
}

function isForgettable(before: TeamSlices, { state }: LedgerInput): boolean {
    return state.revision >= before.limitRevision && Object.keys(before.slices).length === 0;
}

function markRemoved(before: TeamSlices, { state }: LedgerInput): TeamSlices {
    return before.isRemoved || state.revision < before.limitRevision
        ? before
        : { ...before, isRemoved: true, limitRevision: state.revision };
}

function growSlices(team: string, slices: TeamSlices["slices"], input: LedgerInput): TeamSlices["slices"] {
    const limit = limitOf(input.state, team);
    const free = subtractUnits(limit, sumUnits(Object.values(slices)));
    if (!fitsWithin(zeroUnits, free) || isZeroUnits(free)) {
        return slices;
    }
    const given = allocateByDominantShare(
        free,
        limit,
        input.eligible.flatMap((boot) => demandOf(boot, team, slices, input)),
    );
    const served = addToSlices(slices, given);
    const spare = subtractUnits(free, sumUnits(given.values()));
    return addToSlices(
        served,
        spreadIdleCapacity(spare, input.eligible.map((boot) => recipientOf(boot, team, served, input))),
    );
}

function demandOf(boot: string, team: string, slices: TeamSlices["slices"], { reports }: LedgerInput) {
    const report = reports.get(boot)?.[team];
    const held = slices[boot] ?? zeroUnits;
    const wants = unmetDemand(report, held);
    if (report === undefined || isZeroUnits(wants)) {
        return [];
    }
    const lacking = clampUnits(subtractUnits(addUnits(report.used, report.next), held));
    return [{ boot, held, wants, firstStep: isZeroUnits(lacking) ? report.next : lacking, step: report.next }];
}

/** A busy entry is likely to get more tasks. Without a margin each of its next tasks would wait for a ledger write. */
function recipientOf(boot: string, team: string, slices: TeamSlices["slices"], { reports }: LedgerInput) {
    const report = reports.get(boot)?.[team];
    const demand = report === undefined ? 0 : report.used.tasks + report.waiting.tasks;
    const held = (slices[boot] ?? zeroUnits).tasks;
    return { boot, idleTasks: held - Math.ceil(demand * (1 + demandMarginFactor)) };
}

function addToSlices(slices: TeamSlices["slices"], added: ReadonlyMap<string, Units>): TeamSlices["slices"] {
    const changes = [...added].filter(([, units]) => !isZeroUnits(units));
    return changes.length === 0 ? slices : {
        ...slices,
        ...Object.fromEntries(changes.map(([boot, units]) => [boot, addUnits(slices[boot] ?? zeroUnits, units)])),
    };
}

/**
 * Adds a record with the task lease for every boot with a slice, so that any writer knows how long to wait before
 * reclaiming it.
 */
function withHolders(ledger: Ledger, leasesMs: ReadonlyMap<string, number>): Ledger {
    const holders: Record<string, LedgerHolder> = { ...ledger.holders };
    for (const { slices } of Object.values(ledger.teams)) {
        for (const boot of Object.keys(slices)) {
            holders[boot] ??= { releaseNumber: 0, leaseMs: leasesMs.get(boot) ?? 0 };
        }
    }
    return { ...ledger, holders };
}

export function isSameSlices(a: Ledger, b: Ledger, boot: string): boolean {
    const names = new Set([...Object.keys(a.teams), ...Object.keys(b.teams)]);
    return a.holders[boot]?.releaseNumber === b.holders[boot]?.releaseNumber
        && [...names].every((team) =>
            areEqualUnits(a.teams[team]?.slices[boot] ?? zeroUnits, b.teams[team]?.slices[boot] ?? zeroUnits)
        );
}

export function hasGrown(before: Ledger, after: Ledger, boot: string): boolean {
    return Object.entries(after.teams).some(([team, { slices }]) =>
        !fitsWithin(slices[boot] ?? zeroUnits, before.teams[team]?.slices[boot] ?? zeroUnits)
    );
}
