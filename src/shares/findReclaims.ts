import type { Reclaim } from "./shares";
import type { TeamUse } from "./teamUse";

/** A team below its share may wait this long before others' running work is stopped for it, in milliseconds. */
const reclaimAfterMs = 1500;
const reclaimUrgentAfterMs = 600;
const mostUrgentAtOnce = 4;

/**
 * Works out how many running tasks of teams above their share this entry should give back.
 *
 * Lent room comes back by itself as tasks end. Where they run long it would not, and the team that lent it would see
 * its work wait for minutes though its share is free by right. Each entry gives back in proportion to what it runs of
 * the team, rounded by chance, so that all entries together give back about what is missing.
 */
export function findReclaims(
    use: readonly TeamUse[],
    shares: ReadonlyMap<string, number>,
    nowMs: number,
    random: () => number,
): readonly Reclaim[] {
    const missing = use.reduce((sum, each) => sum + missingOf(each, shares.get(each.team) ?? 0, nowMs), 0);
    const surpluses = use.map((each) => surplusOf(each, shares.get(each.team) ?? 0));
    const surplusSum = surpluses.reduce((sum, surplus) => sum + surplus, 0);
    return use.flatMap((each, at) => {
        const { team, runningTasks, runningHere } = each;
        const surplus = surpluses[at] ?? 0;
        const forOthers = surplusSum > 0 ? Math.min(surplus, missing * surplus / surplusSum) / oneTaskOf(each) : 0;
        const part = (forOthers + urgentAtShare(each, shares.get(team) ?? 0, nowMs)) * runningHere
            / Math.max(1, runningTasks);
        const tasks = Math.floor(part) + (random() < part % 1 ? 1 : 0);
        return tasks > 0 ? [{ team, tasks }] : [];
    });
}

function oneTaskOf({ running, runningTasks }: TeamUse): number {
    return running / Math.max(1, runningTasks);
}

/** What the team uses above its share; less than half a task counts as none. */
function surplusOf(each: TeamUse, share: number): number {
    const surplus = each.running - share;
    return surplus > oneTaskOf(each) / 2 ? surplus : 0;
}

/**
 * Urgent work of a team that has its share already, waiting at entries that run none of its tasks: the others give up
 * some of the team's own.
 */
function urgentAtShare(each: TeamUse, share: number, nowMs: number): number {
    const isLate = nowMs - each.oldestAtMs > reclaimUrgentAfterMs && each.running >= share;
    return isLate ? Math.min(each.urgentElsewhere, mostUrgentAtOnce) : 0;
}

function missingOf(each: TeamUse, share: number, nowMs: number): number {
    if (each.waitingTasks < 1) {
        return 0;
    }
    const oneTask = each.waiting / each.waitingTasks;
    const bound = each.urgentTasks > 0 ? reclaimUrgentAfterMs : reclaimAfterMs;
    const isLate = nowMs - each.oldestAtMs > bound && each.running + oneTask / 2 <= share;
    return isLate ? Math.min(each.waiting, share - each.running) : 0;
}
