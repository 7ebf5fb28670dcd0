import type { Reporter } from "../logging";
import { ensureIncarnation, replaceIncarnation, type SchedulerState, type Worker } from "../schedule";
import type { StoreItem } from "../store";
import type { WorkerDecoder, WorkerRegistration } from "./workerRegistration";

export interface WorkerTrackerOptions {
    readonly state: SchedulerState;
    readonly decoder: WorkerDecoder;
    readonly report: Reporter;
    readonly steadyMs: () => number;
    onIncarnationEnded(worker: Worker, reason: string): void;
    /** Whether a machine order is pending for the worker's machine. */
    hasPendingOrder(worker: Worker): boolean;
    readonly evacuatedZones: () => ReadonlySet<string>;
    /** Polls a worker from now on, if that is needed and it is not polled already. */
    ensurePolling(worker: Worker): void;
}

/** Tracks the incarnations of workers during a tenure, from progress records, registrations and run lists. */
export interface WorkerTracker {
    /** Finds or adds the worker of a run that an earlier leader recorded. Its registration may not have been read yet. */
    findRecorded(id: string, bornMs: number): Worker;
    /** Handles a new or changed worker registration from the store. `item` is `undefined` if it was removed. */
    handleRegistration(key: string, item: StoreItem | undefined): void;
    /** Handles that another incarnation answered a request to this worker. */
    handleOtherIncarnation(worker: Worker, bornMs: number): void;
}

/** Creates a tracker for the workers of one tenure. */
export function createWorkerTracker(opts: WorkerTrackerOptions): WorkerTracker {
    const { state, decoder, steadyMs } = opts;

    const endIncarnation = (reason: string) => (previous: Worker) => opts.onIncarnationEnded(previous, reason);

    return {
        findRecorded(id, bornMs) {
            const nowMs = steadyMs();
            const worker = ensureIncarnation(
                state,
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
        handleRegistration(key, item) {
            const id = decoder.idOf(key);
            const registration = item === undefined ? undefined : decoder.decode(key, item.text);
            if (registration === undefined) {
                const known = state.workers.get(id);
                if (known !== undefined) {
                    known.isRegistered = false;
                }
                if (item !== undefined) {
                    opts.report({ kind: "valueRefused", key, detail: "the registration describes no usable worker" });
                }
                return;
            }
            const worker = ensureIncarnation(
                state,
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
            worker.isReserved ||= opts.hasPendingOrder(worker);
            opts.ensurePolling(worker);
        },
        handleOtherIncarnation(worker, bornMs) {
            const reason = "the worker restarted under the same id";
            opts.ensurePolling(replaceIncarnation(state, worker, bornMs, steadyMs(), endIncarnation(reason)));
        },
    };
}

function applyRegistration(worker: Worker, registration: WorkerRegistration): void {
    worker.address = registration.address;
    worker.pool = registration.pool;
    worker.zone = registration.zone;
    worker.rack = registration.rack;
    worker.labels = registration.labels;
    worker.capacity = registration.capacity;
    worker.isDraining = registration.isDraining;
    worker.drainLeftMs = registration.drainLeftMs;
    worker.isRegistered = true;
}
