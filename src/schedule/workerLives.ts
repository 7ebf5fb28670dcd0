import type { Board, Worker } from "./board";
import { createWorker } from "./createWorker";
import { moveRun } from "./runs";

/** Is given the record of a life that another one has taken the place of, with what ran there. */
export type LifeEnded = (earlier: Worker) => void;

/** Whether a record is the one that the board has under its worker's id. */
export function isOnBoard(board: Board, worker: Worker): boolean {
    return board.workers.get(worker.id) === worker;
}

/**
 * The record of a life, or of a later one where that is known. A life ends before the next one under its id begins, so the
 * board has one life of each id: the latest that a record, an entry or a list tells of.
 */
export function takeLife(
    board: Board,
    id: string,
    bornMs: number,
    nowMs: number,
    onLifeEnded: LifeEnded,
): Worker {
    const known = board.workers.get(id);
    if (known === undefined) {
        const worker = createWorker(id, bornMs);
        board.workers.set(id, worker);
        return worker;
    }
    return known.bornMs < bornMs ? replaceLife(board, known, bornMs, nowMs, onLifeEnded) : known;
}

/**
 * Puts a later life in the place of the one that the board has.
 *
 * An order that was sent to one life may have been carried out by the next, which answers under the same id and address, and
 * the answer does not tell them apart; lists do. So a run that no list of the earlier life has shown goes to the later one,
 * whose lists settle it. Given up instead, its task would start elsewhere while it runs there.
 */
export function replaceLife(
    board: Board,
    earlier: Worker,
    bornMs: number,
    nowMs: number,
    onLifeEnded: LifeEnded,
): Worker {
    const worker = createWorker(earlier.id, bornMs);
    worker.address = earlier.address;
    board.workers.set(worker.id, worker);
    for (const run of [...earlier.runs]) {
        if (run.phase !== "recording" && run.seenAtMs === undefined) {
            moveRun(board, run, worker, nowMs);
        }
    }
    onLifeEnded(earlier);
    return worker;
}

/** Takes a record off the board; another one under the same id stays. */
export function removeWorker(board: Board, worker: Worker): void {
    if (isOnBoard(board, worker)) {
        board.workers.delete(worker.id);
    }
}
