import type { Reclaim } from "./shares";
import type { TeamUse } from "./teamUse";

/** A team below its share may wait this long before others' running work is stopped for it, in milliseconds. */
const reclaimAfterMs = 1500;
const reclaimUrgentAfterMs = 750;

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
    const above = use.map((each) => ({ ...each, surplus: each.running - (shares.get(each.team) ?? 0) }))
        .filter(({ surplus, running, runningTasks }) => surplus > running / Math.max(1, runningTasks) / 2);
    const surplusSum = above.reduce((sum, { surplus }) => sum + surplus, 0);
    if (missing <= 0 || surplusSum <= 0) {
        return [];
    }
    return above.flatMap(({ team, surplus, running, runningTasks, runningHere }) => {
        const oneTask = running / Math.max(1, runningTasks);
        const part = Math.min(surplus, missing * surplus / surplusSum) / oneTask * runningHere / runningTasks;
        const tasks = Math.floor(part) + (random() < part % 1 ? 1 : 0);
        return tasks > 0 ? [{ team, tasks }] : [];
    });
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
