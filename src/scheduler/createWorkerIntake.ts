import type { Reporter } from "../logging";
import { type Board, replaceLife, takeLife, type Worker } from "../schedule";
import type { StoreItem } from "../store";
import type { WorkerDecoder, WorkerEntry } from "./workerEntries";

export interface WorkerIntakeOptions {
    readonly board: Board;
    readonly decoder: WorkerDecoder;
    readonly report: Reporter;
    readonly steadyMs: () => number;
    onLifeEnded(worker: Worker, reason: string): void;
    /** Whether an order to the worker's machine is under way. */
    isOrdered(worker: Worker): boolean;
    readonly evacuatedZones: () => ReadonlySet<string>;
    follow(worker: Worker): void;
}

/** The workers of a tenure: what records, entries and lists tell of their lives. */
export interface WorkerIntake {
    /** The worker of a run that an earlier owner recorded; nothing else may be known of it yet. */
    findRecorded(id: string, bornMs: number): Worker;
    /** A worker's entry in the store is new or has changed; `undefined`: it was removed. */
    take(key: string, item: StoreItem | undefined): void;
    /** Another life of a worker has answered where this one was asked. */
    noteOtherLife(worker: Worker, bornMs: number): void;
}

export function createWorkerIntake(opts: WorkerIntakeOptions): WorkerIntake {
    const { board, decoder, steadyMs } = opts;

    const endLife = (reason: string) => (earlier: Worker) => opts.onLifeEnded(earlier, reason);

    return {
        findRecorded(id, bornMs) {
            const nowMs = steadyMs();
            const worker = takeLife(board, id, bornMs, nowMs, endLife("runs of a later life are recorded"));
            if (worker.bornMs !== bornMs) {
                worker.inheritedAtMs = nowMs;
            }
            if (worker.address === "") {
                // No entry has told where it is.
                worker.isReachable = false;
            }
            return worker;
        },
        take(key, item) {
            const id = decoder.idOf(key);
            const entry = item === undefined ? undefined : decoder.decode(key, item.text);
            if (entry === undefined) {
                const known = board.workers.get(id);
                if (known !== undefined) {
                    known.isListed = false;
                }
                if (item !== undefined) {
                    opts.report({ kind: "valueRefused", key, detail: "the entry names no worker" });
                }
                return;
            }
            const worker = takeLife(board, id, entry.bornMs, steadyMs(), endLife("its entry tells of a new start"));
            if (worker.bornMs === entry.bornMs) {
                applyEntry(worker, entry);
            }
            worker.isEvacuated = opts.evacuatedZones().has(worker.zone);
            // An entry that was gone for a moment comes back as a worker of which nothing is known.
            worker.isReserved ||= opts.isOrdered(worker);
            opts.follow(worker);
        },
        noteOtherLife(worker, bornMs) {
            const reason = "it has started again under the same id";
            opts.follow(replaceLife(board, worker, bornMs, steadyMs(), endLife(reason)));
        },
    };
}

function applyEntry(worker: Worker, entry: WorkerEntry): void {
    worker.address = entry.address;
    worker.pool = entry.pool;
    worker.zone = entry.zone;
    worker.rack = entry.rack;
    worker.labels = entry.labels;
    worker.capacity = entry.capacity;
    worker.isDraining = entry.isDraining;
    worker.drainLeftMs = entry.drainLeftMs;
    worker.isListed = true;
}
