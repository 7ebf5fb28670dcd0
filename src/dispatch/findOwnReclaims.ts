import type { Shares } from "../shares";
import type { TeamQueue } from "./createTaskQueues";
import type { Try } from "./createTries";

export interface OwnReclaim {
    readonly one: Try;
    readonly reason: string;
}

/** Urgent work waits this long for a slot to become free by itself, in milliseconds. */
const urgentWaitMs = 600;
/** A task that has not run for this long is left alone: most end soon by themselves. */
const leastRunMs = 500;

/**
 * Chooses running tasks to stop for others: only repeatable ones that are not urgent, the latest started first. A team
 * whose urgent task waits while the team already has its share gives up work of its own, so that calling everything
 * urgent takes nothing from others.
 */
export function findOwnReclaims(
    pool: string,
    running: readonly Try[],
    queues: readonly TeamQueue[],
    shares: Shares,
): readonly OwnReclaim[] {
    const chosen = new Map<string, OwnReclaim>();
    const nowMs = Date.now();

    function choose(team: string, count: number, reason: string): void {
        const mayStop = running.filter(({ waiting: { task }, stopping, attempt, sentAtMs }) =>
            task.team === team && task.repeatable && !task.urgent && stopping === undefined && !chosen.has(attempt)
            && nowMs - (sentAtMs ?? nowMs) >= leastRunMs
        );
        mayStop.slice(Math.max(0, mayStop.length - count)).forEach((one) => chosen.set(one.attempt, { one, reason }));
    }

    for (const { team, tasks } of shares.findReclaims(pool)) {
        choose(team, tasks, "a team below its share has waited too long");
    }
    for (const queue of queues) {
        const late = queue.first(1).filter(({ task, arrivedAtMs }) =>
            task.urgent && nowMs - arrivedAtMs > urgentWaitMs
        );
        if (late.length > 0 && shares.isAtShare(pool, queue.team)) {
            choose(queue.team, late.length, "urgent work of the same team has waited too long");
        }
    }
    return [...chosen.values()];
}
