import type { Board, Worker } from "./board";
import { createWorker } from "./createWorker";

/** Whether a record is the one that the board has under its worker's id. */
export function isOnBoard(board: Board, worker: Worker): boolean {
    return board.workers.get(worker.id) === worker;
}

/**
 * The record of a life, new where the board has none; `undefined` where a later life under the same id is known.
 *
 * A life ends before the next one under its id begins. So the board has one life of each id, the latest that any record or
 * entry tells of, and `onLifeEnded` is given the one that it takes the place of.
 */
export function takeLife(
    board: Board,
    id: string,
    bornMs: number,
    onLifeEnded: (earlier: Worker) => void,
): Worker | undefined {
    const known = board.workers.get(id);
    if (known !== undefined && known.bornMs >= bornMs) {
        return known.bornMs === bornMs ? known : undefined;
    }
    if (known !== undefined) {
        onLifeEnded(known);
    }
    const worker = createWorker(id, bornMs);
    board.workers.set(id, worker);
    return worker;
}

/** Takes a record off the board; another one under the same id stays. */
export function removeWorker(board: Board, worker: Worker): void {
    if (isOnBoard(board, worker)) {
        board.workers.delete(worker.id);
    }
}
