import type { Policy } from "../policy";
import type { Board, Run, Task, Worker } from "./board";
import { type Estimates } from "./estimates";
import { orderWork, type Unit } from "./orderWork";
import { isEligible, placeTask } from "./placeTask";
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
    const pools = groupByPool(board);
    const caps = new Map(policy.tenants.map(({ name, cap }) => [name, cap]));
    const misses = new Map<string, number>();
    const started: Run[] = [];
    const units = orderWork({
        entries: board.submissions.values(),
        routeOf: (submission) => routeOf(policy, submission),
        estimates,
        nowMs,
        timeOfDayMs: opts.timeOfDayMs,
    });
    for (const unit of units) {
        const pool = unit.route.service;
        if (started.length >= opts.maxStarts || (misses.get(pool) ?? 0) > maxMisses) {
            continue;
        }
        if (!isWithinCap(board, caps.get(unit.entry.submission.tenant ?? ""), unit)) {
            continue;
        }
        const runs = placeUnit(unit, pools.get(pool) ?? [], opts);
        if (runs.length === 0) {
            misses.set(pool, (misses.get(pool) ?? 0) + 1);
        }
        started.push(...runs);
    }
    return started;
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

function isWithinCap(board: Board, cap: Task["step"]["size"] | undefined, { entry, tasks }: Unit): boolean {
    const { tenant } = entry.submission;
    const size = tasks[0]?.step.size;
    if (tenant === undefined || cap === undefined || size === undefined) {
        return true;
    }
    const use = board.tenantUse.get(tenant) ?? { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    const isBelow = (used: number, each: number, most: number) => most === 0 || used + each * tasks.length <= most;
    return isBelow(use.cpuMillis, size.cpuMillis, cap.cpuMillis)
        && isBelow(use.memoryMb, size.memoryMb, cap.memoryMb)
        && isBelow(use.accelerators, size.accelerators, cap.accelerators);
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
