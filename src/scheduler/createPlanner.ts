import type { AdviceCandidate, PermitCache } from "../advice";
import type { Tenure } from "../duties";
import type { Policy } from "../policy";
import type { StartWindow } from "../runs";
import {
    type AccountLimits,
    createStartGate,
    type DurationEstimates,
    groupByPool,
    hasFreeCapacity,
    listAdviceCandidates,
    listStragglers,
    type PlacementUnit,
    planSpeculativeRuns,
    planStarts,
    type Run,
    type SchedulerState,
    type SubmissionEntry,
    type Task,
    type Worker,
} from "../schedule";

export interface PlannerOptions {
    readonly state: SchedulerState;
    readonly estimates: DurationEstimates;
    readonly tenure: Tenure;
    readonly steadyMs: () => number;
    readonly policy: () => Policy | undefined;
    readonly limits: AccountLimits;
    readonly permits: PermitCache;
    readonly window: StartWindow;
    /** Longest value that the store takes, in bytes. */
    readonly maxValueBytes: number;
    /** Records new runs of a submission and sends their start requests. */
    startAll(entry: SubmissionEntry, runs: readonly Run[]): void;
}

export interface Planner {
    /** Schedules a planning round, after a change of state. */
    planSoon(): void;
    stop(): void;
}

/**
 * Minimum time between the starts of two planning rounds, in milliseconds. Each round ranks all waiting work. Without a
 * minimum, hundreds of ends and answers a second would each start a round.
 */
const minRoundIntervalMs = 8;

/**
 * Pause after a round, as a multiple of the round's duration. With a long backlog a round takes tens of milliseconds on a
 * small instance, which would leave no time for requests, answers and lease renewals. This limits planning to a quarter
 * of the time.
 */
const pauseFactor = 3;

/** Starts of a round that are left to speculative runs, which a long backlog would otherwise keep waiting. */
const speculativeReserve = 1;

/** Plans starts and speculative runs in rounds. */
export function createPlanner(opts: PlannerOptions): Planner {
    const { state, estimates, steadyMs } = opts;
    let isDue = false;
    let isStopped = false;
    let nextRoundAtMs = 0;

    function planSoon(): void {
        if (!isDue && !isStopped) {
            isDue = true;
            setTimeout(runRound, Math.max(0, nextRoundAtMs - steadyMs()));
        }
    }

    function runRound(): void {
        const startedAtMs = steadyMs();
        isDue = false;
        plan(startedAtMs);
        const tookMs = steadyMs() - startedAtMs;
        nextRoundAtMs = startedAtMs + Math.max(minRoundIntervalMs, tookMs * (1 + pauseFactor));
    }

    function plan(nowMs: number): void {
        const policy = opts.policy();
        const maxStarts = opts.window.free();
        if (isStopped || policy === undefined || !opts.tenure.isValid() || maxStarts === 0) {
            return;
        }
        opts.limits.applyPolicy(policy);
        const { capOf } = opts.limits;
        const placement = { allowedWorkers, requestAdvice };
        const gate = createStartGate({ state, nowMs, ...placement, maxStarts, capOf });
        const stragglers = listStragglers({ state, policy, estimates, nowMs });
        const planned = planStarts({
            state,
            policy,
            estimates,
            nowMs,
            timeOfDayMs: Date.now(),
            ...placement,
            gate,
            maxValueBytes: opts.maxValueBytes,
            maxStarts: stragglers.length > 0 ? Math.max(1, maxStarts - speculativeReserve) : maxStarts,
            window: { sizeStarts: opts.window.size(), inFlightByPool: opts.window.inFlightByPool() },
        });
        const pools = groupByPool(state);
        const speculative = planSpeculativeRuns(stragglers, {
            gate,
            policy,
            workersOf: (pool) => pools.get(pool) ?? [],
        });
        const bySubmission = new Map<SubmissionEntry, Run[]>();
        opts.window.add([...planned, ...speculative]);
        for (const run of [...planned, ...speculative]) {
            const group = bySubmission.get(run.task.entry) ?? [];
            bySubmission.set(run.task.entry, group);
            group.push(run);
        }
        bySubmission.forEach((group, entry) => opts.startAll(entry, group));
    }

    function allowedWorkers({ queue, tasks: [task] }: PlacementUnit): ReadonlySet<string> | undefined {
        return queue.advice === undefined || task === undefined
            ? undefined
            : opts.permits.allowedWorkers(adviceStepName(task), (id) => state.workers.get(id)?.bornMs);
    }

    function requestAdvice(unit: PlacementUnit, workers: readonly Worker[]): void {
        const [task] = unit.tasks;
        if (unit.queue.advice !== undefined && task !== undefined) {
            opts.permits.request(adviceStepName(task), unit.queue.advice, listCandidates(unit, workers));
        }
    }

    function listCandidates(unit: PlacementUnit, workers: readonly Worker[]): readonly AdviceCandidate[] {
        const [task] = unit.tasks;
        return listAdviceCandidates(unit, workers, steadyMs()).map((worker) => ({
            workerId: worker.id,
            bornMs: worker.bornMs,
            hasFreeCapacity: task !== undefined && hasFreeCapacity(worker, task),
        }));
    }

    return {
        planSoon,
        stop: () => void (isStopped = true),
    };
}

/** Returns the name of a task's step for the advice service. */
export function adviceStepName({ entry, occurrence, stepNumber }: Task): string {
    return `${entry.submission.id}.${occurrence}.${stepNumber}`;
}
