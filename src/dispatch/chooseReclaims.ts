import type { Shares } from "../shares";
import type { Attempt } from "./createLeasedAttempts";
import type { TeamQueue } from "./createTaskQueues";

/** An attempt of this entry to stop, and the reason for the log. */
export interface OwnReclaim {
    readonly attempt: Attempt;
    readonly reason: string;
}

/** How long urgent work waits for a slot to become free before a task is stopped for it, in milliseconds. */
const maxUrgentWaitMs = 600;
/** A task is not stopped before it has run this long, in milliseconds, because most tasks end soon. */
const minRunMs = 500;

/**
 * Chooses running tasks to preempt for other tasks. Only repeatable tasks that are not urgent are chosen, the latest
 * started first. If a team's urgent task waits while the team already uses its share, a task of the same team is
 * stopped, so that a team can't take slots from others by marking all its tasks as urgent.
 */
export function chooseReclaims(
    pool: string,
    running: readonly Attempt[],
    queues: readonly TeamQueue[],
    shares: Shares,
): readonly OwnReclaim[] {
    const chosen = new Map<string, OwnReclaim>();
    const nowMs = Date.now();

    function addReclaims(team: string, count: number, reason: string): void {
        const stoppable = running.filter(({ waiting: { task }, stopping, id: attemptId, sentAtMs }) =>
            task.team === team && task.repeatable && !task.urgent && stopping === undefined && !chosen.has(attemptId)
            && nowMs - (sentAtMs ?? nowMs) >= minRunMs
        );
        stoppable.slice(Math.max(0, stoppable.length - count)).forEach((candidate) =>
            chosen.set(candidate.id, { attempt: candidate, reason })
        );
    }

    for (const { team, tasks } of shares.findReclaims(pool)) {
        addReclaims(team, tasks, "a team below its share has waited too long");
    }
    for (const queue of queues) {
        const overdue = queue.peek(1).filter(({ task, arrivedAtMs }) =>
            task.urgent && nowMs - arrivedAtMs > maxUrgentWaitMs
        );
        if (overdue.length > 0 && shares.hasReachedShare(pool, queue.team)) {
            addReclaims(queue.team, overdue.length, "urgent work of the same team has waited too long");
        }
    }
    return [...chosen.values()];
}
