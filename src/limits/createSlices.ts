import type { Release, SlicesMessage } from "./messages";
import { shardCount, shardOf } from "./shards";
import { isNoUnits, isSameUnits, maxUnits, minUnits, noUnits, type Units } from "./units";

interface ShardSlices {
    /** Ledger revision that the slices stand for. */
    revision: number;
    slices: Readonly<Record<string, Units>>;
    /** Releases that the ledger is not known to have taken in; each binds from the moment it was made. */
    pending: Release | undefined;
    /** Boots that may write the pending release, or an earlier one that it contains. */
    readonly sentTo: Set<string>;
    nextNumber: number;
}

/** What this boot may use of each team's limit. */
export interface Slices {
    /** The slice that the ledger gives, lowered by all releases under way. */
    capOf(team: string): Units;
    /** Lowers slices at once; the release has to reach the ledger some time. */
    lower(shard: number, keeps: Readonly<Record<string, Units>>): void;
    /** Takes in what the ledger said at some revision; gives the teams whose cap has grown. */
    adopt(message: SlicesMessage): readonly string[];
    /** The release that is to be sent, which contains the earlier ones. */
    pendingRelease(shard: number): Release | undefined;
    noteSent(shard: number, boot: string): void;
    /**
     * Takes a release back once every boot that it was sent to has promised never to write it; gives true then.
     * Without this, room that was given up while the platform went down would lie idle until it comes back.
     */
    noteVoid(shard: number, number: number, boot: string): boolean;
    revisionOf(shard: number): number;
    teamsOf(shard: number): readonly string[];
}

/**
 * Keeps `cap <= slice in the ledger` whatever messages are lost, late or doubled: the ledger's slice falls only by
 * releases of this boot, each numbered, and a release counts against the cap until the ledger has its number.
 */
export function createSlices(): Slices {
    const shards = Array.from({ length: shardCount }, (): ShardSlices => ({
        revision: 0,
        slices: {},
        pending: undefined,
        sentTo: new Set(),
        nextNumber: 1,
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
        const slice = slices[team] ?? noUnits;
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
            shard.pending = { number: shard.nextNumber++, keeps: merged };
        },
        adopt(message) {
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
            return teams.filter((team) => isGrown(before.get(team) ?? noUnits, capOf(team)));
        },
        noteSent(shardNumber, boot) {
            const shard = shardAt(shardNumber);
            if (shard.pending !== undefined) {
                shard.sentTo.add(boot);
            }
        },
        noteVoid(shardNumber, number, boot) {
            const shard = shardAt(shardNumber);
            if (shard.pending === undefined || number < shard.pending.number) {
                return false;
            }
            shard.sentTo.delete(boot);
            if (shard.sentTo.size > 0) {
                // Another boot may still write it, so it binds; its number is used up where it was dropped.
                shard.pending = { ...shard.pending, number: shard.nextNumber++ };
                return false;
            }
            shard.pending = undefined;
            return true;
        },
        pendingRelease: (shard) => shardAt(shard).pending,
        revisionOf: (shard) => shardAt(shard).revision,
        teamsOf: (shard) =>
            Object.entries(shardAt(shard).slices).flatMap(([team, units]) => isNoUnits(units) ? [] : [team]),
    };
}

function isGrown(before: Units, after: Units): boolean {
    return !isSameUnits(maxUnits(before, after), before);
}
