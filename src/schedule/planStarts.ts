import type { Policy } from "../policy";
import type { Step, Submission } from "../submissions";
import { createAccountLimits } from "./createAccountLimits";
import { createAccountShares } from "./createAccountShares";
import { createStartGate, type StartGate } from "./createStartGate";
import { divideStarts } from "./divideStarts";
import { type DurationEstimates } from "./estimates";
import { fitsStep, type MaxFree } from "./findMaxFree";
import { isEligible } from "./placeTask";
import type { PlaceUnitOptions } from "./placeUnit";
import { promoteUnderserved } from "./promoteUnderserved";
import { queueOf } from "./queueOf";
import {
    countStartable,
    listReadySteps,
    type PlacementUnit,
    type RankedEntry,
    rankSubmissions,
} from "./rankSubmissions";
import type { Run, SchedulerState, SubmissionEntry, Worker } from "./schedulerState";
import { createPoolOfRound, type PoolOfRound, startRanked } from "./startRanked";

export interface PlanOptions extends PlaceUnitOptions {
    readonly policy: Policy;
    readonly estimates: DurationEstimates;
    readonly timeOfDayMs: number;
    /**
     * Bound on the starts of one round, so that planning does not block other work of the process for long. The last
     * unit of the round may exceed it.
     */
    readonly maxStarts: number;
    /** Starts in flight, of which `maxStarts` is the free part; `undefined`: none are in flight. */
    readonly window?: StartsInFlight;
    /** Longest value that the store takes, in bytes; `undefined`: progress is not recorded. */
    readonly maxValueBytes?: number;
    /** Gate of the planning round; `undefined`: starts are all that is planned in it. */
    readonly gate?: StartGate;
}

/** Starts in flight and their bound. */
export interface StartsInFlight {
    readonly sizeStarts: number;
    readonly inFlightByPool: ReadonlyMap<string, number>;
}

/** Adds runs for tasks that can start, in phase `recording`, in rank order, and returns them. */
export function planStarts(opts: PlanOptions): readonly Run[] {
    const { state, policy, estimates, nowMs } = opts;
    const pools = new Map(
        [...groupByPool(state)].map(([pool, workers]) => [pool, createPoolOfRound(workers)]),
    );
    const gate = opts.gate ?? createConfiguredGate(opts);
    const mayRunMore = ({ submission: { tenant } }: SubmissionEntry, { size }: Step) =>
        gate.isWithinLimit(tenant, size, 1);
    const entries = [...listPlaceable(
        state,
        (entry) => pools.get(queueOf(policy, entry.submission).service)?.maxFree,
        mayRunMore,
    )];
    const rankOptions = {
        entries,
        queueOf: (submission: Submission) => queueOf(policy, submission),
        estimates,
        nowMs,
        timeOfDayMs: opts.timeOfDayMs,
    };
    promoteUnderserved({ ...rankOptions, shares: state.serviceShares });
    const ranked = rankSubmissions({
        ...rankOptions,
        shareOf: createAccountShares(state, policy),
    });
    const quotas = divideStarts({
        freeStarts: opts.maxStarts,
        windowStarts: opts.window?.sizeStarts ?? opts.maxStarts,
        inFlightByPool: opts.window?.inFlightByPool ?? new Map(),
        waitingByPool: countWaiting(ranked, pools, opts),
    });
    return startRanked(ranked, quotas, {
        nowMs,
        maxStarts: opts.maxStarts,
        maxValueBytes: opts.maxValueBytes ?? Number.POSITIVE_INFINITY,
        pools,
        started: [],
        gate,
    });
}

/** Gate of a round by the limits that are configured. */
function createConfiguredGate(opts: PlanOptions): StartGate {
    const limits = createAccountLimits();
    limits.applyPolicy(opts.policy);
    return createStartGate({ ...opts, capOf: limits.capOf });
}

/**
 * Counts the tasks of each pool that can start. The count of a pool ends at the size of the window, so that a long backlog
 * is not listed in each round.
 */
function countWaiting(
    ranked: readonly RankedEntry[],
    pools: ReadonlyMap<string, PoolOfRound>,
    { nowMs, maxStarts, window }: PlanOptions,
): ReadonlyMap<string, number> {
    const maxCount = window?.sizeStarts ?? maxStarts;
    const waitingByPool = new Map<string, number>();
    for (const each of ranked) {
        const { service: poolName } = each.queue;
        const pool = pools.get(poolName);
        let count = waitingByPool.get(poolName) ?? 0;
        if (pool === undefined || count >= maxCount) {
            continue;
        }
        for (const ready of listReadySteps(each, (step) => fitsStep(step, pool.maxFree))) {
            count += countStartable(ready, nowMs);
        }
        if (count > 0) {
            waitingByPool.set(poolName, count);
        }
    }
    return waitingByPool;
}

/**
 * Submissions with a step that may fit into their pool and is within the limit of their client account. In a busy
 * period most submissions wait for a full pool. A leader that ranked all of them in each round would spend its time on
 * finding that none can be placed.
 */
function* listPlaceable(
    { submissions }: SchedulerState,
    maxFreeOf: (entry: SubmissionEntry) => MaxFree | undefined,
    mayRunMore: (entry: SubmissionEntry, step: Step) => boolean,
): Generator<SubmissionEntry> {
    for (const entry of submissions.values()) {
        const maxFree = maxFreeOf(entry);
        const isPlaceable = (step: Step) => maxFree !== undefined && fitsStep(step, maxFree) && mayRunMore(entry, step);
        if (entry.submission.steps.some(isPlaceable)) {
            yield entry;
        }
    }
}

/** Workers by the name of their pool. */
export function groupByPool(state: SchedulerState): ReadonlyMap<string, Worker[]> {
    const pools = new Map<string, Worker[]>();
    for (const worker of state.workers.values()) {
        const pool = pools.get(worker.pool);
        if (pool === undefined) {
            pools.set(worker.pool, [worker]);
        }
        else {
            pool.push(worker);
        }
    }
    return pools;
}

/**
 * Workers that could run a unit's step if they had enough free capacity: the candidates to ask the advice service
 * about.
 */
export function listAdviceCandidates(
    { tasks }: PlacementUnit,
    workers: readonly Worker[],
    nowMs: number,
): readonly Worker[] {
    const task = tasks[0];
    return task === undefined ? [] : workers.filter((worker) => isEligible(worker, task, { workers, nowMs }));
}
