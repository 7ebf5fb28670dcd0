import { placeTask } from "./placeTask";
import type { PlacementUnit } from "./rankSubmissions";
import { addRun, removeRun } from "./runs";
import type { Run, SchedulerState, Worker } from "./schedulerState";
import { releaseTask } from "./stepTasks";

export interface PlaceUnitOptions {
    readonly state: SchedulerState;
    readonly nowMs: number;
    /** Ids of the workers that may run a unit's step, as far as is known now; `undefined`: all. */
    readonly allowedWorkers: (unit: PlacementUnit) => ReadonlySet<string> | undefined;
    /** Requests advice on further workers, for a unit that could not be placed on those that are known to be allowed. */
    readonly requestAdvice?: (unit: PlacementUnit, workers: readonly Worker[]) => void;
}

/**
 * Places all tasks of a unit, or none.
 *
 * @param excluded workers that already run the task
 */
export function placeUnit(
    unit: PlacementUnit,
    workers: readonly Worker[],
    opts: PlaceUnitOptions,
    excluded?: ReadonlySet<Worker>,
): readonly Run[] {
    const allowed = opts.allowedWorkers(unit);
    const runs = allowed?.size === 0 ? [] : placeOnAllowed(unit, workers, opts, allowed, excluded);
    if (runs.length === 0 && allowed !== undefined) {
        opts.requestAdvice?.(unit, workers.filter((worker) => excluded?.has(worker) !== true));
    }
    return runs;
}

function placeOnAllowed(
    unit: PlacementUnit,
    workers: readonly Worker[],
    opts: PlaceUnitOptions,
    allowed: ReadonlySet<string> | undefined,
    excluded: ReadonlySet<Worker> | undefined,
): readonly Run[] {
    const number = unit.tasks.reduce((most, { lastRun }) => Math.max(most, lastRun), 0) + 1;
    const runs: Run[] = [];
    for (const candidates of listCandidates(unit, workers)) {
        for (const task of unit.tasks) {
            const place = {
                workers: candidates,
                nowMs: opts.nowMs,
                ...allowed === undefined ? {} : { allowed },
                ...excluded === undefined ? {} : { excluded },
            };
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
        releaseTask(run.task);
    }
}
