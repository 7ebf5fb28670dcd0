import type { Advisor } from "../advice";
import type { Tenure } from "../duties";
import type { Policy } from "../policy";
import type { StartWindow } from "../runs";
import {
    type Board,
    type Estimates,
    groupByPool,
    listAdviceCandidates,
    planCopies,
    planStarts,
    routeOf,
    type Run,
    type SubmissionEntry,
    type Task,
    type Unit,
    type Worker,
} from "../schedule";

export interface PlannerOptions {
    readonly board: Board;
    readonly estimates: Estimates;
    readonly tenure: Tenure;
    readonly steadyMs: () => number;
    readonly policy: () => Policy | undefined;
    readonly advisor: Advisor;
    readonly window: StartWindow;
    /** Records and orders new runs of a submission. */
    startAll(entry: SubmissionEntry, runs: readonly Run[]): void;
}

export interface Planner {
    /** Something has changed: a round of planning follows soon. */
    planSoon(): void;
    stop(): void;
}

/**
 * Shortest time between two rounds of planning, in milliseconds. Each round orders all that waits; hundreds of ends and
 * answers a second would otherwise each start one.
 */
const planGatherMs = 8;

/**
 * Pause after a round, as a multiple of what the round took. With a long backlog a round takes tens of milliseconds on a
 * small instance; planning would leave no time for orders, answers and renewals. This bounds it to a quarter.
 */
const planPauseFactor = 3;

/** Plans starts and copies in rounds. */
export function createPlanner(opts: PlannerOptions): Planner {
    const { board, estimates, steadyMs } = opts;
    let isDue = false;
    let isStopped = false;
    let planAgainAtMs = 0;

    function planSoon(): void {
        if (!isDue && !isStopped) {
            isDue = true;
            setTimeout(runRound, Math.max(0, planAgainAtMs - steadyMs()));
        }
    }

    function runRound(): void {
        const beganAtMs = steadyMs();
        isDue = false;
        plan(beganAtMs);
        const tookMs = steadyMs() - beganAtMs;
        planAgainAtMs = beganAtMs + Math.max(planGatherMs, tookMs * (1 + planPauseFactor));
    }

    function plan(nowMs: number): void {
        const policy = opts.policy();
        const maxStarts = opts.window.free();
        if (isStopped || policy === undefined || !opts.tenure.isValid() || maxStarts === 0) {
            return;
        }
        const planned = planStarts({
            board,
            policy,
            estimates,
            nowMs,
            timeOfDayMs: Date.now(),
            allowedWorkers: findAllowed,
            maxStarts,
        });
        const pools = groupByPool(board);
        const copies = planCopies({
            board,
            workersOf: (pool) => pools.get(pool) ?? [],
            poolOf: (submission) => routeOf(policy, submission).service,
            estimates,
            nowMs,
        });
        const bySubmission = new Map<SubmissionEntry, Run[]>();
        opts.window.add([...planned, ...copies]);
        for (const run of [...planned, ...copies]) {
            const group = bySubmission.get(run.task.owner) ?? [];
            bySubmission.set(run.task.owner, group);
            group.push(run);
        }
        bySubmission.forEach((group, entry) => opts.startAll(entry, group));
    }

    function findAllowed(unit: Unit, workers: readonly Worker[]): ReadonlySet<string> | "unknown" | undefined {
        const task = unit.tasks[0];
        if (unit.route.advice === undefined || task === undefined) {
            return undefined;
        }
        const candidates = listAdviceCandidates(unit, workers, steadyMs()).map(({ id }) => id);
        return opts.advisor.allowed(stepName(task), candidates) ?? "unknown";
    }

    return {
        planSoon,
        stop: () => void (isStopped = true),
    };
}

/** Name of a task's step for the advice service. */
export function stepName({ owner, occurrence, stepNumber }: Task): string {
    return `${owner.submission.id}.${occurrence}.${stepNumber}`;
}
