import type { Policy } from "../policy";
import type { Step } from "../submissions";
import { createAccountLimits } from "./createAccountLimits";
import { createAccountShares } from "./createAccountShares";
import { createStartGate, type StartGate } from "./createStartGate";
import { divideStarts } from "./divideStarts";
import { type DurationEstimates } from "./estimates";
import { findMaxFree, fits, fitsStep, type MaxFree } from "./findMaxFree";
import { isEligible } from "./placeTask";
import type { PlaceUnitOptions } from "./placeUnit";
import { queueOf } from "./queueOf";
import { listPlacementUnits, type PlacementUnit, type RankedEntry, rankSubmissions } from "./rankSubmissions";
import type { Run, SchedulerState, SubmissionEntry, Worker } from "./schedulerState";

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
    /** Gate of the planning round; `undefined`: starts are all that is planned in it. */
    readonly gate?: StartGate;
}

/** Starts in flight and their bound. */
export interface StartsInFlight {
    readonly sizeStarts: number;
    readonly inFlightByPool: ReadonlyMap<string, number>;
}

/** A pool counts as full for the rest of the round after more failed placements than this. */
const maxFailedPlacements = 40;

/** Adds runs for tasks that can start, in phase `recording`, in rank order, and returns them. */
export function planStarts(opts: PlanOptions): readonly Run[] {
    const { state, policy, estimates, nowMs } = opts;
    const pools = new Map(
        [...groupByPool(state)].map(([pool, workers]) => [pool, { workers, maxFree: findMaxFree(workers) }]),
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
    return startRanked(ranked, quotas, {
        opts,
        pools,
        failedPlacements: new Map(),
        startedByPool: new Map(),
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

/** State of one planning round. */
interface Round {
    readonly opts: PlanOptions;
    readonly pools: ReadonlyMap<string, PoolOfRound>;
    readonly failedPlacements: Map<string, number>;
    readonly startedByPool: Map<string, number>;
    readonly started: Run[];
    readonly gate: StartGate;
}

interface PoolOfRound {
    readonly workers: readonly Worker[];
    readonly maxFree: MaxFree;
}

/** Starts tasks in rank order, first within the quotas of the pools; what some pools leave then goes to the others. */
function startRanked(
    ranked: readonly RankedEntry[],
    quotas: ReadonlyMap<string, number> | undefined,
    round: Round,
): readonly Run[] {
    const { opts: { nowMs, maxStarts }, started, startedByPool } = round;
    const hasStartsLeft = () => started.length < maxStarts;
    const hasQuotaLeft = (pool: string) =>
        quotas === undefined ? hasStartsLeft() : (startedByPool.get(pool) ?? 0) < (quotas.get(pool) ?? 0);
    const deferred: { readonly poolName: string; readonly listUnits: () => readonly PlacementUnit[]; }[] = [];
    for (const each of ranked) {
        const { service: poolName } = each.queue;
        if (quotas === undefined && !hasStartsLeft()) {
            break;
        }
        if (isExhausted(poolName, round)) {
            continue;
        }
        const listUnits = () => listPlacementUnits(each, nowMs);
        if (!hasQuotaLeft(poolName)) {
            deferred.push({ poolName, listUnits });
            continue;
        }
        const left = startUnits(poolName, listUnits(), hasQuotaLeft, round);
        if (left.length > 0) {
            deferred.push({ poolName, listUnits: () => left });
        }
    }
    for (const { poolName, listUnits } of deferred) {
        if (hasStartsLeft() && !isExhausted(poolName, round)) {
            startUnits(poolName, listUnits(), hasStartsLeft, round);
        }
    }
    return started;
}

function isExhausted(poolName: string, { pools, failedPlacements }: Round): boolean {
    return !pools.has(poolName) || (failedPlacements.get(poolName) ?? 0) > maxFailedPlacements;
}

/** Starts units of a pool in order. Returns those that were not tried because `mayStart` was false. */
function startUnits(
    poolName: string,
    units: readonly PlacementUnit[],
    mayStart: (pool: string) => boolean,
    round: Round,
): readonly PlacementUnit[] {
    const { gate, failedPlacements, startedByPool, started } = round;
    const pool = round.pools.get(poolName);
    for (const [at, unit] of units.entries()) {
        if (pool === undefined || isExhausted(poolName, round)) {
            return [];
        }
        if (!mayStart(poolName)) {
            return units.slice(at);
        }
        if (!gate.isAllowed(unit)) {
            continue;
        }
        const runs = fits(unit, pool.maxFree) ? gate.place(unit, pool.workers) : [];
        if (runs.length === 0) {
            failedPlacements.set(poolName, (failedPlacements.get(poolName) ?? 0) + 1);
        }
        startedByPool.set(poolName, (startedByPool.get(poolName) ?? 0) + runs.length);
        started.push(...runs);
    }
    return [];
}

/**
 * Counts the tasks of each pool that can start. The count of a pool ends at the size of the window, or where the pool
 * would count as full, so that a long backlog is not listed in each round.
 */
function countWaiting(
    ranked: readonly RankedEntry[],
    pools: ReadonlyMap<string, PoolOfRound>,
    { nowMs, maxStarts, window }: PlanOptions,
): ReadonlyMap<string, number> {
    const maxCount = window?.sizeStarts ?? maxStarts;
    const waitingByPool = new Map<string, number>();
    const misfits = new Map<string, number>();
    for (const each of ranked) {
        const { service: poolName } = each.queue;
        const pool = pools.get(poolName);
        const count = waitingByPool.get(poolName) ?? 0;
        const misfitCount = misfits.get(poolName) ?? 0;
        if (pool === undefined || count >= maxCount || misfitCount > maxFailedPlacements) {
            continue;
        }
        const units = listPlacementUnits(each, nowMs);
        const fitting = units.filter((unit) => fits(unit, pool.maxFree));
        misfits.set(poolName, misfitCount + units.length - fitting.length);
        if (fitting.length > 0) {
            waitingByPool.set(poolName, fitting.reduce((sum, { tasks }) => sum + tasks.length, count));
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
