import { Either, Left, Right } from "purify-ts";
import type { Members } from "../members";
import type { Platform, PlatformFailure } from "../platform";
import type { FleetState, UpperLimit } from "../state";
import { emptyLedger, type Ledger, parseLedger, type TeamSlices } from "./ledger";
import type { TeamDivision } from "./limits";
import { limitOf } from "./planLedger";
import { ledgerKey, shardCount } from "./shards";
import { fitsWithin, mapUnits, sumUnits, unitNames, type Units } from "./units";

/**
 * Reads all ledgers, with one read each, and compares them to the limits of the configuration that this entry knows.
 */
export async function readDivisions(
    platform: Platform,
    state: FleetState | undefined,
    members: Members,
): Promise<Either<PlatformFailure, readonly TeamDivision[]>> {
    if (state === undefined) {
        return Left({ kind: "unavailable", detail: "no configuration is known yet" });
    }
    const reads = await Promise.all(
        Array.from({ length: shardCount }, (_, shard) => platform.read(ledgerKey(shard))),
    );
    return Either.sequence(reads).chain((values) => {
        const ledgers = values.map((stored) => stored === undefined ? emptyLedger : parseLedger(stored.text));
        const known = ledgers.flatMap((ledger) => ledger ?? []);
        return known.length < ledgers.length
            ? Left<PlatformFailure>({
                kind: "unavailable",
                detail: "a ledger is of another version",
            })
            : Right(describeDivisions(known, state, members));
    });
}

function describeDivisions(ledgers: readonly Ledger[], state: FleetState, members: Members): readonly TeamDivision[] {
    const written = Object.assign({}, ...ledgers.map(({ teams }) => teams)) as Record<string, TeamSlices>;
    const names = [...new Set([...Object.keys(state.teams), ...Object.keys(written)])].sort();
    return names.map((team) => describeDivision(team, written[team], state, members));
}

function describeDivision(
    team: string,
    slices: TeamSlices | undefined,
    state: FleetState,
    members: Members,
): TeamDivision {
    const limit = limitOf(state, team);
    const holders = Object.entries(slices?.slices ?? {});
    const held = sumUnits(holders.map(([, units]) => units));
    const isWithin = fitsWithin(held, limit);
    const evenPart = mapUnits((name) => Math.ceil(limit[name] / Math.max(1, holders.length)));
    const known = state.teams[team];
    // Until the ledger has the new limit's revision, a writer with an older configuration can still add up to the old
    // limit.
    const isWritten = slices === undefined || known === undefined
        || slices.limitRevision >= (known.limitRevision ?? 0) && !slices.isRemoved;
    return {
        team,
        ...known === undefined ? {} : { limit: known.limit },
        isInForce: isWithin && isWritten && (slices !== undefined || known === undefined),
        held: toLimit(held),
        holders: holders.map(([boot, units]) => ({
            boot,
            slice: toLimit(units),
            isRecorded: (members.recorded() ?? []).some((peer) => peer.boot === boot),
        })),
        holdTooMuch: isWithin ? [] : holders.flatMap(([boot, units]) => exceeds(units, evenPart) ? [boot] : []),
    };
}

function exceeds(units: Units, part: Units): boolean {
    return unitNames.some((name) => units[name] > part[name]);
}

function toLimit({ tasks, milliProcessors, memoryMb, accelerators }: Units): UpperLimit {
    return { tasks, processors: milliProcessors / 1000, memoryMb, accelerators };
}
