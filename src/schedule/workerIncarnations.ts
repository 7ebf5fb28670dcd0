import { createWorker } from "./createWorker";
import { moveRun } from "./runs";
import type { SchedulerState, Worker } from "./schedulerState";

/** Called with an incarnation that a later one has replaced. Its `runs` are those that were not moved to the later. */
export type OnIncarnationEnded = (earlier: Worker) => void;

/** Whether the scheduler state has this incarnation under its worker's id. */
export function isCurrentIncarnation(state: SchedulerState, worker: Worker): boolean {
    return state.workers.get(worker.id) === worker;
}

/**
 * Returns the incarnation of a worker that started at `bornMs`, or a later one if that is known; adds it if necessary.
 * An incarnation ends before the next one with its id starts, so the state has one for each id: the latest that a
 * progress record, a registration or a run list has named.
 */
export function ensureIncarnation(
    state: SchedulerState,
    id: string,
    bornMs: number,
    nowMs: number,
    onIncarnationEnded: OnIncarnationEnded,
): Worker {
    const known = state.workers.get(id);
    if (known === undefined) {
        const worker = createWorker(id, bornMs);
        state.workers.set(id, worker);
        return worker;
    }
    return known.bornMs < bornMs ? replaceIncarnation(state, known, bornMs, nowMs, onIncarnationEnded) : known;
}

/**
 * Replaces the known incarnation of a worker with a later one.
 *
 * A start request that was sent to one incarnation may have been executed by the next one, which has the same id and
 * address. The answer does not tell which of them executed it; a run list does. So a run that no run list of the
 * earlier incarnation contained is moved to the later one, whose run lists decide. If it were dropped instead, its task
 * could start elsewhere while it still runs there.
 */
export function replaceIncarnation(
    state: SchedulerState,
    earlier: Worker,
    bornMs: number,
    nowMs: number,
    onIncarnationEnded: OnIncarnationEnded,
): Worker {
    const worker = createWorker(earlier.id, bornMs);
    worker.address = earlier.address;
    state.workers.set(worker.id, worker);
    for (const run of [...earlier.runs]) {
        if (run.phase !== "recording" && run.firstListedAtMs === undefined) {
            moveRun(state, run, worker, nowMs);
        }
    }
    onIncarnationEnded(earlier);
    return worker;
}

/** Removes an incarnation from the scheduler state; a different one with the same id stays. */
export function removeWorker(state: SchedulerState, worker: Worker): void {
    if (isCurrentIncarnation(state, worker)) {
        state.workers.delete(worker.id);
    }
}
