import type { Resources } from "../resources";
import type { Step } from "../submissions";
import { createPlacementFailures, isRetried, type PlacementFailures } from "./createPlacementFailures";
import type { StartGate } from "./createStartGate";
import { findMaxFree, fitsStep, type MaxFree } from "./findMaxFree";
import { countPlaces } from "./findObstacle";
import { isEligible } from "./placeTask";
import { hasProgressRoom } from "./progressBounds";
import {
    countStartable,
    listReadySteps,
    listUnits,
    type PlacementUnit,
    type RankedEntry,
    type ReadyStep,
} from "./rankSubmissions";
import type { Run, Worker } from "./schedulerState";
import { taskAt } from "./stepTasks";

/** Most failed placements of a pool in rank order in one round. Each goes over all workers of the pool. */
const maxFailedPlacements = 40;

/** Most failed placements of a pool in one round among the submissions that follow, least recently tried first. */
const maxRotatedPlacements = 20;

/** State of one planning round. */
export interface Round {
    readonly nowMs: number;
    /** Bound on the starts of the round. The last unit may exceed it. */
    readonly maxStarts: number;
    /** Longest value that the store takes, in bytes. */
    readonly maxValueBytes: number;
    readonly pools: ReadonlyMap<string, PoolOfRound>;
    readonly started: Run[];
    readonly gate: StartGate;
}

export interface PoolOfRound {
    readonly workers: readonly Worker[];
    readonly maxFree: MaxFree;
    readonly failures: PlacementFailures;
    startedCount: number;
    /** Submissions that were not tried because too many placements before them had failed. */
    readonly untried: RankedEntry[];
}

export function createPoolOfRound(workers: readonly Worker[]): PoolOfRound {
    return {
        workers,
        maxFree: findMaxFree(workers),
        failures: createPlacementFailures(),
        startedCount: 0,
        untried: [],
    };
}

/**
 * Starts tasks in rank order, first within the quotas of the pools; what some pools leave then goes to the others.
 *
 * Failed placements bound the duration of a round. So that work that can't be placed hides nothing that can, a pool also
 * tries some of the submissions beyond the bound, least recently tried first.
 */
export function startRanked(
    ranked: readonly RankedEntry[],
    quotas: ReadonlyMap<string, number> | undefined,
    round: Round,
): readonly Run[] {
    const { maxStarts, pools, started } = round;
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
            if (failures.count() >= maxFailures || !hasQuotaLeft(each.queue.service)) {
                break;
            }
            startWithinQuota(each, maxFailures);
        }
    }
    for (const each of deferred) {
        if (!hasStartsLeft()) {
            break;
        }
        startEntry(each, hasStartsLeft, maxFailedPlacements + maxRotatedPlacements, round);
    }
    return started;
}

/**
 * Starts tasks of a submission. Returns false if some were not tried because `mayStart` was false. Where the bound on failures
 * ends it, the next round goes on with the step that it has reached.
 */
function startEntry(each: RankedEntry, mayStart: () => boolean, maxFailures: number, round: Round): boolean {
    const pool = round.pools.get(each.queue.service);
    if (pool === undefined) {
        return true;
    }
    const { entry } = each;
    const { failures, maxFree } = pool;
    const isWanted = (step: Step) => fitsStep(step, maxFree) && !failures.coversStep(step);
    entry.placementTriedAtMs = round.nowMs;
    const from = entry.nextPlacedStep;
    entry.nextPlacedStep = 0;
    for (const [at, ready] of listFrom(listReadySteps(each, isWanted), from)) {
        if (failures.count() >= maxFailures) {
            entry.nextPlacedStep = at;
            return true;
        }
        if (!mayStart() || !startStep(ready, pool, mayStart, round)) {
            return false;
        }
    }
    return true;
}

/** Lists items with their positions, from a position to the end and then those before it. */
function* listFrom<T>(items: Iterable<T>, from: number): Generator<readonly [position: number, item: T]> {
    const before: (readonly [number, T])[] = [];
    let position = 0;
    for (const item of items) {
        const listed = [position++, item] as const;
        if (listed[0] < from) {
            before.push(listed);
        }
        else {
            yield listed;
        }
    }
    yield* before;
}

/** Starts tasks of a step until none can be placed. Returns false if `mayStart` was false before that. */
function startStep(
    ready: ReadyStep,
    pool: PoolOfRound,
    mayStart: () => boolean,
    round: Round,
): boolean {
    const { gate, started, nowMs, maxValueBytes } = round;
    const isGang = ready.tasks.step.isGang;
    if (isGang && (countStartable(ready, nowMs) === 0 || !hasRoomForGang(ready, pool, round))) {
        return true;
    }
    for (const unit of listUnits(ready, nowMs)) {
        if (!mayStart()) {
            return false;
        }
        // The tasks that follow are of the same size and account.
        if (!gate.isAllowed(unit) || !hasRecordRoom(unit, maxValueBytes)) {
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
function hasRoomForGang(
    { entry, queue, tasks }: ReadyStep,
    { workers, failures }: PoolOfRound,
    { gate, nowMs }: Round,
): boolean {
    const { step } = tasks;
    const first = taskAt(tasks, 0);
    const member: PlacementUnit = { entry, queue, tasks: [first] };
    if (failures.coversUnit(member) || !gate.isWithinLimit(entry.submission.tenant, step.size, step.count)) {
        return false;
    }
    let places = 0;
    for (const worker of workers) {
        const isUsable = places < step.count && isEligible(worker, first, { workers, nowMs });
        places += isUsable ? countPlaces(freeCapacityOf(worker), step) : 0;
    }
    if (places < step.count) {
        failures.add(member);
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

/** Whether the progress record of the submission holds the unit's tasks or has room for them. */
function hasRecordRoom({ entry, tasks }: PlacementUnit, maxValueBytes: number): boolean {
    return tasks[0]?.lastRun !== 0 || hasProgressRoom(entry, tasks.length, maxValueBytes);
}
