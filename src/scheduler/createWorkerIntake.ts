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
    /** Whether a machine order is pending for the worker's machine. */
    isOrdered(worker: Worker): boolean;
    readonly evacuatedZones: () => ReadonlySet<string>;
    /** Starts polling a worker if that is needed. */
    follow(worker: Worker): void;
}

/** Tracks the incarnations of workers during a tenure, from progress records, registrations and run lists. */
export interface WorkerIntake {
    /** Finds or adds the worker of a run that an earlier leader recorded. Its registration may not have been read yet. */
    findRecorded(id: string, bornMs: number): Worker;
    /** Handles a new or changed worker registration from the store. `item` is `undefined` if it was removed. */
    take(key: string, item: StoreItem | undefined): void;
    /** Handles that another incarnation answered a request to this worker. */
    noteOtherLife(worker: Worker, bornMs: number): void;
}

/** Creates a tracker for the workers of one tenure. */
export function createWorkerIntake(opts: WorkerIntakeOptions): WorkerIntake {
    const { board, decoder, steadyMs } = opts;

    const endIncarnation = (reason: string) => (previous: Worker) => opts.onLifeEnded(previous, reason);

    return {
        findRecorded(id, bornMs) {
            const nowMs = steadyMs();
            const worker = takeLife(
                board,
                id,
                bornMs,
                nowMs,
                endIncarnation("runs of a later incarnation are recorded"),
            );
            if (worker.bornMs !== bornMs) {
                worker.inheritedAtMs = nowMs;
            }
            if (worker.address === "") {
                // Its registration, which holds its address, has not been read.
                worker.isReachable = false;
            }
            return worker;
        },
        take(key, item) {
            const id = decoder.idOf(key);
            const registration = item === undefined ? undefined : decoder.decode(key, item.text);
            if (registration === undefined) {
                const known = board.workers.get(id);
                if (known !== undefined) {
                    known.isListed = false;
                }
                if (item !== undefined) {
                    opts.report({ kind: "valueRefused", key, detail: "the registration describes no usable worker" });
                }
                return;
            }
            const worker = takeLife(
                board,
                id,
                registration.bornMs,
                steadyMs(),
                endIncarnation("its registration reports a restart"),
            );
            if (worker.bornMs === registration.bornMs) {
                applyRegistration(worker, registration);
            }
            worker.isEvacuated = opts.evacuatedZones().has(worker.zone);
            // After a short absence of its registration the worker is a new object, without the reservation.
            worker.isReserved ||= opts.isOrdered(worker);
            opts.follow(worker);
        },
        noteOtherLife(worker, bornMs) {
            const reason = "the worker restarted under the same id";
            opts.follow(replaceLife(board, worker, bornMs, steadyMs(), endIncarnation(reason)));
        },
    };
}

function applyRegistration(worker: Worker, registration: WorkerEntry): void {
    worker.address = registration.address;
    worker.pool = registration.pool;
    worker.zone = registration.zone;
    worker.rack = registration.rack;
    worker.labels = registration.labels;
    worker.capacity = registration.capacity;
    worker.isDraining = registration.isDraining;
    worker.drainLeftMs = registration.drainLeftMs;
    worker.isListed = true;
}
