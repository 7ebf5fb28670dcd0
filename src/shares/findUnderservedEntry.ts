import type { Turn } from "./shares";

/** Numbers of running and waiting tasks of one team at one entry. */
export interface TaskCounts {
    readonly running: { readonly tasks: number; };
    readonly waiting?: { readonly tasks: number; } | undefined;
}

export type TaskCountsByTeam = Iterable<readonly [string, TaskCounts]>;

interface Surplus {
    /** Number of running tasks beyond the entry's fair part. The fair part is what the shares cover of its demand. */
    readonly surplus: number;
    readonly running: number;
    readonly waitingTeam: string | undefined;
}

/** Part of its surplus that an entry offers to others during the run time of one task. */
const offeredPart = 0.5;

/**
 * Finds the entry whose waiting tasks lack the most slots, if this entry has more slots than its fair part. A freed
 * slot normally stays with the entry whose task ended. Without this, tasks at an entry with few slots would wait long.
 *
 * @param parts by team, the part of its demand that its share covers
 */
export function findUnderservedEntry(
    ownRows: TaskCountsByTeam,
    others: readonly (readonly [string, TaskCountsByTeam])[],
    parts: ReadonlyMap<string, number>,
    random: () => number,
): Turn | undefined {
    const { surplus, running } = surplusOf(ownRows, parts);
    if (surplus < 1 || random() > surplus / running * offeredPart) {
        return undefined;
    }
    let mostUnderserved: { readonly boot: string; readonly team: string; readonly surplus: number; } | undefined;
    for (const [boot, rows] of others) {
        const { waitingTeam, surplus: theirSurplus } = surplusOf(rows, parts);
        if (waitingTeam !== undefined && theirSurplus < (mostUnderserved?.surplus ?? -1)) {
            mostUnderserved = { boot, team: waitingTeam, surplus: theirSurplus };
        }
    }
    return mostUnderserved === undefined
        ? undefined
        : { kind: "peer", team: mostUnderserved.team, boot: mostUnderserved.boot };
}

function surplusOf(rows: TaskCountsByTeam, parts: ReadonlyMap<string, number>): Surplus {
    let [running, fairTasks] = [0, 0];
    let waitingTeam: string | undefined;
    for (const [team, row] of rows) {
        const waiting = row.waiting?.tasks ?? 0;
        running += row.running.tasks;
        fairTasks += (row.running.tasks + waiting) * (parts.get(team) ?? 0);
        waitingTeam = waiting >= 1 ? team : waitingTeam;
    }
    return { surplus: running - fairTasks, running, waitingTeam };
}
