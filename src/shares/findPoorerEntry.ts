import type { Turn } from "./shares";

/** What an entry runs and has waiting of one team, in tasks. */
export interface PartRow {
    readonly running: { readonly tasks: number; };
    readonly waiting?: { readonly tasks: number; } | undefined;
}

export type EntryRows = Iterable<readonly [string, PartRow]>;

interface Surplus {
    /** How much more the entry runs than its part of all shares by what it has waiting, in tasks. */
    readonly surplus: number;
    readonly running: number;
    readonly waitingTeam: string | undefined;
}

/** Part of its surplus that an entry offers to others, for each time as long as a task runs. */
const offeredPart = 0.5;

/**
 * Finds the entry that has the fewest slots for what waits there, if this one has more than its part. A slot stays with
 * the entry whose task ended there, so without this work at an entry with few slots would wait long.
 *
 * @param parts for each team the part of its demand that its share covers
 */
export function findPoorerEntry(
    ownRows: EntryRows,
    others: readonly (readonly [string, EntryRows])[],
    parts: ReadonlyMap<string, number>,
    random: () => number,
): Turn | undefined {
    const { surplus, running } = surplusOf(ownRows, parts);
    if (surplus < 1 || random() > surplus / running * offeredPart) {
        return undefined;
    }
    let poorest: { readonly boot: string; readonly team: string; readonly surplus: number; } | undefined;
    for (const [boot, rows] of others) {
        const { waitingTeam, surplus: theirs } = surplusOf(rows, parts);
        if (waitingTeam !== undefined && theirs < (poorest?.surplus ?? -1)) {
            poorest = { boot, team: waitingTeam, surplus: theirs };
        }
    }
    return poorest === undefined ? undefined : { kind: "peer", team: poorest.team, boot: poorest.boot };
}

function surplusOf(rows: EntryRows, parts: ReadonlyMap<string, number>): Surplus {
    let [running, fair] = [0, 0];
    let waitingTeam: string | undefined;
    for (const [team, row] of rows) {
        const waiting = row.waiting?.tasks ?? 0;
        running += row.running.tasks;
        fair += (row.running.tasks + waiting) * (parts.get(team) ?? 0);
        waitingTeam = waiting >= 1 ? team : waitingTeam;
    }
    return { surplus: running - fair, running, waitingTeam };
}
