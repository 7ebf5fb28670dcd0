import { type Board, createWorker, type Worker } from "../schedule";
import type { WorkerEntry } from "./workerEntries";

/** Takes in a worker's entry; gives its record on the board. A new life under an old id replaces the old one. */
export function applyWorkerEntry(
    board: Board,
    entry: WorkerEntry,
    onLifeEnded: (worker: Worker, reason: string) => void,
): Worker {
    const known = board.workers.get(entry.id);
    if (known !== undefined && known.bornMs !== entry.bornMs) {
        if (known.bornMs > entry.bornMs) {
            return known;
        }
        onLifeEnded(known, "its entry tells of a new start");
    }
    const worker = known !== undefined && known.bornMs === entry.bornMs ? known : createWorker(entry.id, entry.bornMs);
    worker.address = entry.address;
    worker.pool = entry.pool;
    worker.zone = entry.zone;
    worker.rack = entry.rack;
    worker.labels = entry.labels;
    worker.capacity = entry.capacity;
    worker.isDraining = entry.isDraining;
    worker.drainLeftMs = entry.drainLeftMs;
    worker.isListed = true;
    board.workers.set(worker.id, worker);
    return worker;
}
