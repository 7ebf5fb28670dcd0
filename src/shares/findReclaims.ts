import type { Reclaim } from "./shares";
import type { TeamUsage } from "./teamUsage";

/** How long a team below its share waits before other teams' running tasks are stopped for it. */
const reclaimAfterMs = 1500;
const reclaimUrgentAfterMs = 600;
const maxUrgentAtOnce = 4;

/**
 * Computes how many running tasks of teams above their share this entry should stop.
 *
 * Lent capacity is returned as tasks end. With long tasks that takes too long: the tasks of the team that lent it would
 * wait for minutes although the team is below its share. Each entry stops tasks in proportion to the number of the
 * team's tasks that it runs, rounded at random, so that all entries together return about the missing amount.
 */
export function findReclaims(
    use: readonly TeamUsage[],
    shares: ReadonlyMap<string, number>,
    nowMs: number,
    random: () => number,
): readonly Reclaim[] {
    const missingSum = use.reduce((sum, each) => sum + missingOf(each, shares.get(each.team) ?? 0, nowMs), 0);
    const surpluses = use.map((each) => surplusOf(each, shares.get(each.team) ?? 0));
    const surplusSum = surpluses.reduce((sum, surplus) => sum + surplus, 0);
    return use.flatMap((each, at) => {
        const { team, runningTasks, runningHere } = each;
        const surplus = surpluses[at] ?? 0;
        const forOthers = surplusSum > 0
            ? Math.min(surplus, missingSum * surplus / surplusSum) / meanTaskShareOf(each)
            : 0;
        const part = (forOthers + urgentAtShare(each, shares.get(team) ?? 0, nowMs)) * runningHere
            / Math.max(1, runningTasks);
        const tasks = Math.floor(part) + (random() < part % 1 ? 1 : 0);
        return tasks > 0 ? [{ team, tasks }] : [];
    });
}

function meanTaskShareOf({ running, runningTasks }: TeamUsage): number {
    return running / Math.max(1, runningTasks);
}

/** Returns the team's usage above its share. Less than half a task counts as 0. */
function surplusOf(each: TeamUsage, share: number): number {
    const surplus = each.running - share;
    return surplus > meanTaskShareOf(each) / 2 ? surplus : 0;
}

/**
 * Returns the number of the team's own tasks to stop for its urgent tasks, if the team already has its share and the
 * urgent tasks wait at other entries, which may run none of its tasks.
 */
function urgentAtShare(each: TeamUsage, share: number, nowMs: number): number {
    const isLate = nowMs - each.oldestAtMs > reclaimUrgentAfterMs && each.running >= share;
    return isLate ? Math.min(each.urgentElsewhere, maxUrgentAtOnce) : 0;
}

function missingOf(each: TeamUsage, share: number, nowMs: number): number {
    if (each.waitingTasks < 1) {
        return 0;
    }
    const oneTask = each.waiting / each.waitingTasks;
    const waitBoundMs = each.urgentTasks > 0 ? reclaimUrgentAfterMs : reclaimAfterMs;
    const isLate = nowMs - each.oldestAtMs > waitBoundMs && each.running + oneTask / 2 <= share;
    return isLate ? Math.min(each.waiting, share - each.running) : 0;
}
