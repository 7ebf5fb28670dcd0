import type { Policy } from "../policy";
import type { Step } from "../submissions";
import { createAccountShares } from "./createAccountShares";
import { divideStarts } from "./divideStarts";
import { type DurationEstimates } from "./estimates";
import { isWithinTenantLimit } from "./isWithinTenantLimit";
import { acceptsNewWork, isEligible, placeTask } from "./placeTask";
import { queueOf } from "./queueOf";
import { listPlacementUnits, type PlacementUnit, type RankedEntry, rankSubmissions } from "./rankSubmissions";
import { addRun, removeRun } from "./runs";
import type { Run, SchedulerState, SubmissionEntry, Worker } from "./schedulerState";

export interface PlanOptions {
    readonly state: SchedulerState;
    readonly policy: Policy;
    readonly estimates: DurationEstimates;
    readonly nowMs: number;
    readonly timeOfDayMs: number;
    /**
     * Ids of the workers that may run a unit's step; `undefined`: all. `"unknown"`: the advice service has to be asked
     * first.
     */
    readonly allowedWorkers: (
        unit: PlacementUnit,
        workers: readonly Worker[],
    ) => ReadonlySet<string> | "unknown" | undefined;
    /**
     * Bound on the starts of one round, so that planning does not block other work of the process for long. The last
     * unit of the round may exceed it.
     */
    readonly maxStarts: number;
    /** Starts in flight, of which `maxStarts` is the free part; `undefined`: none are in flight. */
    readonly window?: StartsInFlight;
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
    const caps = new Map(policy.tenants.map(({ name, cap }) => [name, cap]));
    const failedPlacements = new Map<string, number>();
    const isWithinLimit = ({ entry, tasks }: PlacementUnit) => {
        const { tenant } = entry.submission;
        const size = tasks[0]?.step.size;
        return size === undefined || isWithinTenantLimit(state, tenant, caps.get(tenant ?? ""), size, tasks.length);
    };
    const mayRunMore = ({ submission: { tenant } }: SubmissionEntry, { size }: Step) =>
        isWithinTenantLimit(state, tenant, caps.get(tenant ?? ""), size);
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
    const started: Run[] = [];
    const startedByPool = new Map<string, number>();
    const hasStartsLeft = () => started.length < opts.maxStarts;
    const isExhausted = (pool: string) => !pools.has(pool) || (failedPlacements.get(pool) ?? 0) > maxFailedPlacements;
    const hasQuotaLeft = (pool: string) =>
        quotas === undefined ? hasStartsLeft() : (startedByPool.get(pool) ?? 0) < (quotas.get(pool) ?? 0);

    /** Starts units of a pool in order. Returns those that were not tried because `mayStart` was false. */
    function startUnits(
        poolName: string,
        units: readonly PlacementUnit[],
        mayStart: (pool: string) => boolean,
    ): readonly PlacementUnit[] {
        const pool = pools.get(poolName);
        for (const [at, unit] of units.entries()) {
            if (pool === undefined || isExhausted(poolName)) {
                return [];
            }
            if (!mayStart(poolName)) {
                return units.slice(at);
            }
            if (!isWithinLimit(unit)) {
                continue;
            }
            const runs = fits(unit, pool.maxFree) ? placeUnit(unit, pool.workers, opts) : [];
            if (runs.length === 0) {
                failedPlacements.set(poolName, (failedPlacements.get(poolName) ?? 0) + 1);
            }
            startedByPool.set(poolName, (startedByPool.get(poolName) ?? 0) + runs.length);
            started.push(...runs);
        }
        return [];
    }

    const deferred: { readonly poolName: string; readonly listUnits: () => readonly PlacementUnit[]; }[] = [];
    for (const each of ranked) {
        const { service: poolName } = each.queue;
        if (isExhausted(poolName)) {
            continue;
        }
        if (!hasQuotaLeft(poolName)) {
            deferred.push({ poolName, listUnits: () => listPlacementUnits(each, nowMs) });
            continue;
        }
        const left = startUnits(poolName, listPlacementUnits(each, nowMs), hasQuotaLeft);
        if (left.length > 0) {
            deferred.push({ poolName, listUnits: () => left });
        }
    }
    // What some pools leave of their quotas goes to the others, in rank order.
    for (const { poolName, listUnits } of deferred) {
        if (!hasStartsLeft()) {
            break;
        }
        if (!isExhausted(poolName)) {
            startUnits(poolName, listUnits(), hasStartsLeft);
        }
    }
    return started;
}

/**
 * Counts the tasks of each pool that can start. The count of a pool ends at the size of the window, or where the pool
 * would count as full, so that a long backlog is not listed in each round.
 */
function countWaiting(
    ranked: readonly RankedEntry[],
    pools: ReadonlyMap<string, { readonly maxFree: MaxFree; }>,
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

/** Maximum free capacity of any one worker of a pool, in each dimension separately. */
interface MaxFree {
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}

/**
 * Finds the maximum free capacity in a pool. In a busy period nearly every task that is tried can't be placed, and a
 * comparison with the maximum is enough to tell. Checking a few hundred workers for each such task would take most of
 * a round. The maximum stays an upper bound, because free capacity only shrinks during a round.
 */
function findMaxFree(workers: readonly Worker[]): MaxFree {
    let [cpuMillis, memoryMb, accelerators] = [0, 0, 0];
    for (const worker of workers) {
        if (acceptsNewWork(worker)) {
            const { capacity, used } = worker;
            cpuMillis = Math.max(cpuMillis, capacity.cpuMillis - used.cpuMillis);
            memoryMb = Math.max(memoryMb, capacity.memoryMb - used.memoryMb);
            accelerators = Math.max(accelerators, capacity.accelerators - used.accelerators);
        }
    }
    return { cpuMillis, memoryMb, accelerators };
}

function fits({ tasks }: PlacementUnit, maxFree: MaxFree): boolean {
    return tasks.every(({ step }) => fitsStep(step, maxFree));
}

function fitsStep({ size, isFiller }: Step, maxFree: MaxFree): boolean {
    return (isFiller || size.cpuMillis <= maxFree.cpuMillis) && size.memoryMb <= maxFree.memoryMb
        && size.accelerators <= maxFree.accelerators;
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

/** Places all tasks of a unit, or none. */
function placeUnit(unit: PlacementUnit, workers: readonly Worker[], opts: PlanOptions): readonly Run[] {
    const allowed = opts.allowedWorkers(unit, workers);
    if (allowed === "unknown") {
        return [];
    }
    const number = Math.max(...unit.tasks.map(({ lastRun }) => lastRun)) + 1;
    const runs: Run[] = [];
    for (const candidates of listCandidates(unit, workers)) {
        for (const task of unit.tasks) {
            const place = { workers: candidates, nowMs: opts.nowMs, ...allowed === undefined ? {} : { allowed } };
            const worker = placeTask(task, place);
            if (worker === undefined) {
                break;
            }
            runs.push(addRun(opts.state, task, worker, number, "recording", opts.nowMs));
        }
        if (runs.length === unit.tasks.length) {
            return runs;
        }
        undoPlacements(opts.state, runs);
    }
    return [];
}

/**
 * Groups of workers to try in order: first each single rack, if the unit runs slower across racks, then all workers.
 */
function listCandidates({ tasks }: PlacementUnit, workers: readonly Worker[]): readonly (readonly Worker[])[] {
    if (tasks[0]?.step.isSingleRack !== true || tasks.length < 2) {
        return [workers];
    }
    const racks = new Map<string, Worker[]>();
    for (const worker of workers) {
        racks.set(worker.rack, [...racks.get(worker.rack) ?? [], worker]);
    }
    return [...racks.values(), workers];
}

/** Removes the runs of a unit that could not be placed whole. */
function undoPlacements(state: SchedulerState, runs: Run[]): void {
    for (const run of runs.splice(0)) {
        const { waitingSinceMs, lastRun } = run.task;
        removeRun(state, run, run.plannedAtMs);
        run.task.waitingSinceMs = waitingSinceMs;
        run.task.lastRun = Math.min(lastRun, run.number - 1);
    }
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
