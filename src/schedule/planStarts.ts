import type { Policy } from "../policy";
import type { Resources } from "../resources";
import type { Step } from "../submissions";
import { createAccountLimits } from "./createAccountLimits";
import { createAccountShares } from "./createAccountShares";
import { createPlacementFailures, isRetried, type PlacementFailures } from "./createPlacementFailures";
import { createStartGate, type StartGate } from "./createStartGate";
import { divideStarts } from "./divideStarts";
import { type DurationEstimates } from "./estimates";
import { findMaxFree, fitsStep, type MaxFree } from "./findMaxFree";
import { countPlaces } from "./findObstacle";
import { isEligible } from "./placeTask";
import type { PlaceUnitOptions } from "./placeUnit";
import { queueOf } from "./queueOf";
import {
    countStartable,
    listReadySteps,
    listUnits,
    type PlacementUnit,
    type RankedEntry,
    rankSubmissions,
    type ReadyStep,
} from "./rankSubmissions";
import type { Run, SchedulerState, SubmissionEntry, Worker } from "./schedulerState";
import { taskAt } from "./stepTasks";

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

/** Most failed placements of a pool in rank order in one round. Each goes over all workers of the pool. */
const maxFailedPlacements = 40;

/** Most failed placements of a pool in one round among the submissions that follow, least recently tried first. */
const maxRotatedPlacements = 20;

/** Length of a started task in its submission's progress record, in bytes, with a checkpoint of usual length. */
const progressRowBytes = 120;

/** Share of the longest value that a progress record may reach by further starts; what runs makes it longer. */
const maxProgressShare = 0.75;

/** Adds runs for tasks that can start, in phase `recording`, in rank order, and returns them. */
export function planStarts(opts: PlanOptions): readonly Run[] {
    const { state, policy, estimates, nowMs } = opts;
    const pools = new Map(
        [...groupByPool(state)].map(([pool, workers]) => [pool, createPoolOfRound(workers)]),
    );
    const gate = opts.gate ?? createConfiguredGate(opts);
    const mayRunMore = ({ submission: { tenant } }: SubmissionEntry, { size }: Step) =>
        gate.isWithinLimit(tenant, size, 1);
    const ranked = rankSubmissions({
        entries: listPlaceable(
            state,
            (entry) => pools.get(queueOf(policy, entry.submission).service)?.maxFree,
            mayRunMore,
        ),
        queueOf: (submission) => queueOf(policy, submission),
        estimates,
        nowMs,
        timeOfDayMs: opts.timeOfDayMs,
        shareOf: createAccountShares(state, policy),
    });
    const quotas = divideStarts({
        freeStarts: opts.maxStarts,
        windowStarts: opts.window?.sizeStarts ?? opts.maxStarts,
        inFlightByPool: opts.window?.inFlightByPool ?? new Map(),
        waitingByPool: countWaiting(ranked, pools, opts),
    });
    return startRanked(ranked, quotas, { opts, pools, started: [], gate });
}

function createPoolOfRound(workers: readonly Worker[]): PoolOfRound {
    return {
        workers,
        maxFree: findMaxFree(workers),
        failures: createPlacementFailures(),
        startedCount: 0,
        untried: [],
    };
}

/** Gate of a round by the limits that are configured. */
function createConfiguredGate(opts: PlanOptions): StartGate {
    const limits = createAccountLimits();
    limits.applyPolicy(opts.policy);
    return createStartGate({ ...opts, capOf: limits.capOf });
}

/** State of one planning round. */
interface Round {
    readonly opts: PlanOptions;
    readonly pools: ReadonlyMap<string, PoolOfRound>;
    readonly started: Run[];
    readonly gate: StartGate;
}

interface PoolOfRound {
    readonly workers: readonly Worker[];
    readonly maxFree: MaxFree;
    readonly failures: PlacementFailures;
    startedCount: number;
    /** Submissions that were not tried because too many placements before them had failed. */
    readonly untried: RankedEntry[];
}

/**
 * Starts tasks in rank order, first within the quotas of the pools; what some pools leave then goes to the others.
 *
 * Failed placements bound the duration of a round. So that work that can't be placed hides nothing that can, a pool also
 * tries some of the submissions beyond the bound, least recently tried first.
 */
function startRanked(
    ranked: readonly RankedEntry[],
    quotas: ReadonlyMap<string, number> | undefined,
    round: Round,
): readonly Run[] {
    const { opts: { maxStarts }, pools, started } = round;
    const hasStartsLeft = () => started.length < maxStarts;
    const hasQuotaLeft = (pool: string) =>
        quotas === undefined
            ? hasStartsLeft()
            : (pools.get(pool)?.startedCount ?? 0) < (quotas.get(pool) ?? 0);
    const deferred: RankedEntry[] = [];
    const startWithinQuota = (each: RankedEntry, maxFailures: number) => {
        const isAllTried = startEntry(each, () => hasQuotaLeft(each.queue.service), maxFailures, round);
        if (!isAllTried) {
            deferred.push(each);
        }
    };
    for (const each of ranked) {
        const pool = pools.get(each.queue.service);
        if (quotas === undefined && !hasStartsLeft()) {
            break;
        }
        if (pool !== undefined && pool.failures.count() >= maxFailedPlacements) {
            pool.untried.push(each);
        }
        else {
            startWithinQuota(each, maxFailedPlacements);
        }
    }
    for (const { untried, failures } of pools.values()) {
        untried.sort((a, b) => a.entry.placementTriedAtMs - b.entry.placementTriedAtMs);
        const maxFailures = failures.count() + maxRotatedPlacements;
        for (const each of untried) {
            if (failures.count() >= maxFailures || !hasStartsLeft()) {
                break;
            }
            startWithinQuota(each, maxFailures);
        }
    }
    for (const each of deferred) {
        startEntry(each, hasStartsLeft, maxFailedPlacements + maxRotatedPlacements, round);
    }
    return started;
}

/** Starts tasks of a submission. Returns false if some were not tried because `mayStart` was false. */
function startEntry(each: RankedEntry, mayStart: () => boolean, maxFailures: number, round: Round): boolean {
    const { opts: { nowMs } } = round;
    const pool = round.pools.get(each.queue.service);
    if (pool === undefined) {
        return true;
    }
    const { failures, maxFree } = pool;
    const isWanted = (step: Step) => fitsStep(step, maxFree) && !failures.coversStep(step);
    each.entry.placementTriedAtMs = nowMs;
    for (const ready of listReadySteps(each, isWanted)) {
        if (failures.count() >= maxFailures) {
            return true;
        }
        if (!mayStart() || !startStep(ready, pool, mayStart, round)) {
            return false;
        }
    }
    return true;
}

/** Starts tasks of a step until none can be placed. Returns false if `mayStart` was false before that. */
function startStep(
    ready: ReadyStep,
    pool: PoolOfRound,
    mayStart: () => boolean,
    round: Round,
): boolean {
    const { gate, started, opts: { nowMs, maxValueBytes = Number.POSITIVE_INFINITY } } = round;
    if (!hasRoomForGang(ready, pool, round)) {
        return true;
    }
    for (const unit of listUnits(ready, nowMs)) {
        if (!mayStart()) {
            return false;
        }
        // The tasks that follow are of the same size and account.
        if (!gate.isAllowed(unit) || !fitsProgressRecord(unit, maxValueBytes)) {
            return true;
        }
        const runs = pool.failures.coversUnit(unit) ? undefined : gate.place(unit, pool.workers);
        if (runs === undefined || runs.length === 0) {
            if (runs !== undefined) {
                pool.failures.add(unit);
            }
            if (!isRetried(unit)) {
                return true;
            }
            continue;
        }
        pool.startedCount += runs.length;
        started.push(...runs);
    }
    return true;
}

/** Whether all tasks of a gang fit on the workers of its pool now. The tasks of one that doesn't are not listed. */
function hasRoomForGang({ entry, tasks }: ReadyStep, { workers }: PoolOfRound, { gate, opts }: Round): boolean {
    const { step } = tasks;
    if (!step.isGang) {
        return true;
    }
    if (!gate.isWithinLimit(entry.submission.tenant, step.size, step.count)) {
        return false;
    }
    const first = taskAt(tasks, 0);
    let places = 0;
    for (const worker of workers) {
        const isUsable = places < step.count && isEligible(worker, first, { workers, nowMs: opts.nowMs });
        places += isUsable ? countPlaces(freeCapacityOf(worker), step) : 0;
    }
    return places >= step.count;
}

function freeCapacityOf({ capacity, used }: Worker): Resources {
    return {
        cpuMillis: capacity.cpuMillis - used.cpuMillis,
        memoryMb: capacity.memoryMb - used.memoryMb,
        accelerators: capacity.accelerators - used.accelerators,
    };
}

/** Whether the progress record of a submission stays short enough with tasks that it doesn't hold yet. */
function fitsProgressRecord({ entry, tasks }: PlacementUnit, maxValueBytes: number): boolean {
    return tasks[0]?.lastRun !== 0
        || entry.progressBytes + tasks.length * progressRowBytes <= maxValueBytes * maxProgressShare;
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
