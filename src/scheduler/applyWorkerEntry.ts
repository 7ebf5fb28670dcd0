import { type Board, takeLife, type Worker } from "../schedule";
import type { WorkerEntry } from "./workerEntries";

/** Takes in a worker's entry; gives its record on the board, `undefined` where a later life is known. */
export function applyWorkerEntry(
    board: Board,
    entry: WorkerEntry,
    onLifeEnded: (worker: Worker, reason: string) => void,
): Worker | undefined {
    const { id, bornMs } = entry;
    const worker = takeLife(board, id, bornMs, (earlier) => onLifeEnded(earlier, "its entry tells of a new start"));
    if (worker === undefined) {
        return undefined;
    }
    worker.address = entry.address;
    worker.pool = entry.pool;
    worker.zone = entry.zone;
    worker.rack = entry.rack;
    worker.labels = entry.labels;
    worker.capacity = entry.capacity;
    worker.isDraining = entry.isDraining;
    worker.drainLeftMs = entry.drainLeftMs;
    worker.isListed = true;
    return worker;
}
