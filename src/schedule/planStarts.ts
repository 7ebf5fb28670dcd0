import type { Policy } from "../policy";
import type { Step } from "../submissions";
import type { Board, Run, SubmissionEntry, Worker } from "./board";
import { type Estimates } from "./estimates";
import { hasTenantRoom } from "./hasTenantRoom";
import { listUnits, orderWork, type Unit } from "./orderWork";
import { isEligible, isOpen, placeTask } from "./placeTask";
import { routeOf } from "./routeOf";
import { addRun, removeRun } from "./runs";

export interface PlanOptions {
    readonly board: Board;
    readonly policy: Policy;
    readonly estimates: Estimates;
    readonly nowMs: number;
    readonly timeOfDayMs: number;
    /** Workers that may run a unit's step; `undefined`: any. `"unknown"`: they have to be asked for first. */
    readonly allowedWorkers: (unit: Unit, workers: readonly Worker[]) => ReadonlySet<string> | "unknown" | undefined;
    /** At most this many starts, so that one round of planning does not hold up everything else. */
    readonly maxStarts: number;
}

/** Tried placements without success, in one pool, after which the pool counts as full for this round. */
const maxMisses = 40;

/** Puts new runs on the board, in phase `recording`, best first, and returns them. */
export function planStarts(opts: PlanOptions): readonly Run[] {
    const { board, policy, estimates, nowMs } = opts;
    const pools = new Map(
        [...groupByPool(board)].map(([pool, workers]) => [pool, { workers, hole: findHole(workers) }]),
    );
    const caps = new Map(policy.tenants.map(({ name, cap }) => [name, cap]));
    const misses = new Map<string, number>();
    const isWithinCap = ({ entry, tasks }: Unit) => {
        const { tenant } = entry.submission;
        const size = tasks[0]?.step.size;
        return size === undefined || hasTenantRoom(board, tenant, caps.get(tenant ?? ""), size, tasks.length);
    };
    const mayHaveMore = ({ submission: { tenant } }: SubmissionEntry, { size }: Step) =>
        hasTenantRoom(board, tenant, caps.get(tenant ?? ""), size);
    const started: Run[] = [];
    const ranked = orderWork({
        entries: listPlaceable(
            board,
            (entry) => pools.get(routeOf(policy, entry.submission).service)?.hole,
            mayHaveMore,
        ),
        routeOf: (submission) => routeOf(policy, submission),
        estimates,
        nowMs,
        timeOfDayMs: opts.timeOfDayMs,
    });
    for (const each of ranked) {
        const { service } = each.route;
        const pool = pools.get(service);
        const isFull = () => started.length >= opts.maxStarts || (misses.get(service) ?? 0) > maxMisses;
        if (pool === undefined || isFull()) {
            continue;
        }
        for (const unit of listUnits(each, nowMs)) {
            if (isFull()) {
                break;
            }
            if (!isWithinCap(unit)) {
                continue;
            }
            const runs = fits(unit, pool.hole) ? placeUnit(unit, pool.workers, opts) : [];
            if (runs.length === 0) {
                misses.set(service, (misses.get(service) ?? 0) + 1);
            }
            started.push(...runs);
        }
    }
    return started;
}

/** The most that any one worker of a pool has free, each dimension by itself. */
interface Hole {
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}

/**
 * In a peak nearly every task that is tried finds no place. One look at the largest hole of the pool tells so; looking
 * at each of a few hundred workers for each of them took most of a round. Holes only shrink during a round.
 */
function findHole(workers: readonly Worker[]): Hole {
    let [cpuMillis, memoryMb, accelerators] = [0, 0, 0];
    for (const worker of workers) {
        if (isOpen(worker)) {
            const { capacity, used } = worker;
            cpuMillis = Math.max(cpuMillis, capacity.cpuMillis - used.cpuMillis);
            memoryMb = Math.max(memoryMb, capacity.memoryMb - used.memoryMb);
            accelerators = Math.max(accelerators, capacity.accelerators - used.accelerators);
        }
    }
    return { cpuMillis, memoryMb, accelerators };
}

function fits({ tasks }: Unit, hole: Hole): boolean {
    return tasks.every(({ step }) => fitsStep(step, hole));
}

function fitsStep({ size, isFiller }: Step, hole: Hole): boolean {
    return (isFiller || size.cpuMillis <= hole.cpuMillis) && size.memoryMb <= hole.memoryMb
        && size.accelerators <= hole.accelerators;
}

/**
 * Submissions that have a step for which their pool may have a place, and which their client account may have running. In a
 * peak most wait for a full pool: an owner that ranks all of them in each round spends its time on finding that none of
 * them has a place.
 */
function* listPlaceable(
    { submissions }: Board,
    holeOf: (entry: SubmissionEntry) => Hole | undefined,
    mayHaveMore: (entry: SubmissionEntry, step: Step) => boolean,
): Generator<SubmissionEntry> {
    for (const entry of submissions.values()) {
        const hole = holeOf(entry);
        const isPlaceable = (step: Step) => hole !== undefined && fitsStep(step, hole) && mayHaveMore(entry, step);
        if (entry.submission.steps.some(isPlaceable)) {
            yield entry;
        }
    }
}

export function groupByPool(board: Board): ReadonlyMap<string, Worker[]> {
    const pools = new Map<string, Worker[]>();
    for (const worker of board.workers.values()) {
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
function placeUnit(unit: Unit, workers: readonly Worker[], opts: PlanOptions): readonly Run[] {
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
            runs.push(addRun(opts.board, task, worker, number, "recording", opts.nowMs));
        }
        if (runs.length === unit.tasks.length) {
            return runs;
        }
        takeBack(opts.board, runs);
    }
    return [];
}

/** Groups of workers to try one after the other: single racks first where a unit runs slower across racks. */
function listCandidates({ tasks }: Unit, workers: readonly Worker[]): readonly (readonly Worker[])[] {
    if (tasks[0]?.step.isSingleRack !== true || tasks.length < 2) {
        return [workers];
    }
    const racks = new Map<string, Worker[]>();
    for (const worker of workers) {
        racks.set(worker.rack, [...racks.get(worker.rack) ?? [], worker]);
    }
    return [...racks.values(), workers];
}

function takeBack(board: Board, runs: Run[]): void {
    for (const run of runs.splice(0)) {
        const { waitingSinceMs, lastRun } = run.task;
        removeRun(board, run, run.plannedAtMs);
        run.task.waitingSinceMs = waitingSinceMs;
        run.task.lastRun = Math.min(lastRun, run.number - 1);
    }
}

/** Workers that could run a step if they had room; for asking the advice service. */
export function listAdviceCandidates({ tasks }: Unit, workers: readonly Worker[], nowMs: number): readonly Worker[] {
    const task = tasks[0];
    return task === undefined ? [] : workers.filter((worker) => isEligible(worker, task, { workers, nowMs }));
}
