import type { Clocks } from "../clock";
import type { Reporter } from "../logging";
import type { Policy } from "../policy";
import {
    countIdle,
    countUnstarted,
    findObstacle,
    groupByPool,
    hasProgressRoom,
    isStepReady,
    queueOf,
    type SchedulerState,
    type StepTasks,
    type SubmissionEntry,
    type Worker,
} from "../schedule";

export interface ObstacleReportOptions {
    readonly state: SchedulerState;
    readonly clocks: Clocks;
    readonly report: Reporter;
    readonly policy: () => Policy | undefined;
    /** Longest value that the store takes, in bytes. */
    readonly maxValueBytes: number;
}

/** Logs submissions with tasks that wait for something other than free capacity. */
export interface ObstacleReport {
    /** Checks some of the open submissions. Called periodically. */
    tick(): void;
}

/** Shortest time between two checks of a submission, in milliseconds. */
const passIntervalMs = 10_000;

/** Age from which a submission is checked, in milliseconds: a machine that could run it may be on its way. */
const minAgeMs = 3000;

/** Submissions that one tick checks. */
const submissionsPerTick = 50;

export function createObstacleReport(opts: ObstacleReportOptions): ObstacleReport {
    const { state, clocks, report, policy, maxValueBytes } = opts;
    let pass = state.submissions.values();
    let startedAtMs = Number.NEGATIVE_INFINITY;
    let isPassOver = true;

    function check(entry: SubmissionEntry, pools: ReadonlyMap<string, readonly Worker[]>, current: Policy): void {
        const nowMs = clocks.monotonicMs();
        const { submission, occurrences, seenAtMs, finalState } = entry;
        if (finalState !== undefined || nowMs - seenAtMs < minAgeMs) {
            return;
        }
        const { service: pool } = queueOf(current, submission);
        const workers = (pools.get(pool) ?? []).filter(({ isRegistered }) => isRegistered);
        for (const occurrence of occurrences.values()) {
            for (const tasks of occurrence.steps) {
                const isWaiting = countIdle(tasks) > 0 && isStepReady(occurrence, tasks);
                const obstacle = isWaiting ? findObstacle(tasks.step, workers) ?? findRecordBound(tasks) : undefined;
                if (obstacle !== undefined) {
                    report({
                        kind: "unplaceable",
                        submission: submission.id,
                        step: tasks.stepNumber,
                        pool,
                        obstacle,
                        workers: workers.length,
                        waitedMs: Math.round(nowMs - seenAtMs),
                    });
                    return;
                }
            }
        }
    }

    function findRecordBound(tasks: StepTasks): "progressRecord" | undefined {
        const newTasks = tasks.step.isGang ? countUnstarted(tasks) : Math.min(1, countUnstarted(tasks));
        return hasProgressRoom(tasks.entry, newTasks, maxValueBytes) ? undefined : "progressRecord";
    }

    return {
        tick() {
            const nowMs = clocks.monotonicMs();
            const current = policy();
            if (current === undefined || isPassOver && nowMs - startedAtMs < passIntervalMs) {
                return;
            }
            if (isPassOver) {
                isPassOver = false;
                startedAtMs = nowMs;
                pass = state.submissions.values();
            }
            const pools = groupByPool(state);
            for (let count = 0; count < submissionsPerTick; count++) {
                const next = pass.next();
                if (next.done === true) {
                    isPassOver = true;
                    return;
                }
                check(next.value, pools, current);
            }
        },
    };
}
