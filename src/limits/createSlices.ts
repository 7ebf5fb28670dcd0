import type { Release, SlicesMessage } from "./messages";
import { shardCount, shardOf } from "./shards";
import { areEqualUnits, isZeroUnits, maxUnits, minUnits, type Units, zeroUnits } from "./units";

interface ShardSlices {
    /** Ledger revision that `slices` was read at. */
    revision: number;
    slices: Readonly<Record<string, Units>>;
    /**
     * Releases merged into one that the ledger is not known to include yet. Each lowers the cap from the moment it
     * is made.
     */
    pending: Release | undefined;
    /** Boots that may write the pending release, or an earlier one that it includes. */
    readonly sentTo: Set<string>;
    nextReleaseNumber: number;
}

/** Tracks how much of each team's limit this boot may use. */
export interface Slices {
    /** Returns the slice in the ledger, lowered by all pending releases. */
    capOf(team: string): Units;
    /** Lowers slices at once and adds a pending release, which has to reach the ledger eventually. */
    lower(shard: number, keeps: Readonly<Record<string, Units>>): void;
    /** Applies the slices of a ledger revision unless it is old. Returns the teams whose cap has grown. */
    applySlices(message: SlicesMessage): readonly string[];
    /** Returns the release to send, which includes all earlier pending ones. */
    pendingRelease(shard: number): Release | undefined;
    recordSent(shard: number, boot: string): void;
    /**
     * Withdraws the pending release once every boot that it was sent to has promised never to write it. Returns true
     * then. Otherwise capacity released while the platform goes down would stay unused until the platform recovers.
     */
    recordVoid(shard: number, number: number, boot: string): boolean;
    revisionOf(shard: number): number;
    teamsOf(shard: number): readonly string[];
}

/**
 * Invariant: `cap <= slice in the ledger`, even if messages are lost, late or duplicated. Only this boot's numbered
 * releases lower its slice in the ledger, and a release lowers the cap until the ledger includes its number.
 */
export function createSlices(): Slices {
    const shards = Array.from({ length: shardCount }, (): ShardSlices => ({
        revision: 0,
        slices: {},
        pending: undefined,
        sentTo: new Set(),
        nextReleaseNumber: 1,
    }));

    function shardAt(shard: number): ShardSlices {
        const found = shards[shard];
        if (found === undefined) {
            throw new Error(`there is no shard ${shard}`);
        }
        return found;
    }

    function capOf(team: string): Units {
        const { slices, pending } = shardAt(shardOf(team));
        const slice = slices[team] ?? zeroUnits;
        return minUnits(slice, pending?.keeps[team] ?? slice);
    }

    return {
        capOf,
        lower(shardNumber, keeps) {
            const shard = shardAt(shardNumber);
            const merged: Record<string, Units> = { ...keeps };
            for (const [team, units] of Object.entries(shard.pending?.keeps ?? {})) {
                merged[team] = minUnits(units, merged[team] ?? units);
            }
            shard.pending = { number: shard.nextReleaseNumber++, keeps: merged };
        },
        applySlices(message) {
            const shard = shardAt(message.shard);
            if (message.revision <= shard.revision) {
                return [];
            }
            const teams = [...new Set([...Object.keys(shard.slices), ...Object.keys(message.slices)])];
            const before = new Map(teams.map((team) => [team, capOf(team)]));
            shard.revision = message.revision;
            shard.slices = message.slices;
            if (shard.pending !== undefined && shard.pending.number <= message.releaseNumber) {
                shard.pending = undefined;
                shard.sentTo.clear();
            }
            return teams.filter((team) => hasGrown(before.get(team) ?? zeroUnits, capOf(team)));
        },
        recordSent(shardNumber, boot) {
            const shard = shardAt(shardNumber);
            if (shard.pending !== undefined) {
                shard.sentTo.add(boot);
            }
        },
        recordVoid(shardNumber, number, boot) {
            const shard = shardAt(shardNumber);
            if (shard.pending === undefined || number < shard.pending.number) {
                return false;
            }
            shard.sentTo.delete(boot);
            if (shard.sentTo.size > 0) {
                // Another boot may still write the release, so it stays in effect. It gets a new number, because the
                // boot that voided it refuses the old one.
                shard.pending = { ...shard.pending, number: shard.nextReleaseNumber++ };
                return false;
            }
            shard.pending = undefined;
            return true;
        },
        pendingRelease: (shard) => shardAt(shard).pending,
        revisionOf: (shard) => shardAt(shard).revision,
        teamsOf: (shard) =>
            Object.entries(shardAt(shard).slices).flatMap(([team, units]) => isZeroUnits(units) ? [] : [team]),
    };
}

function hasGrown(before: Units, after: Units): boolean {
    return !areEqualUnits(maxUnits(before, after), before);
}
