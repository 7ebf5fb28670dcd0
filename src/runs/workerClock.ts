import type { ClockReading, Worker } from "../schedule";

/** Lowest rate of a worker's clock relative to the local one; a bound that the platform guarantees. */
const minClockRate = 0.98;

/** Records a reading of a worker's clock from an answer. A reading received before the recorded one is ignored. */
export function recordClockReading(worker: Worker, reading: ClockReading): void {
    worker.answeredAtMs = Math.max(worker.answeredAtMs, reading.receivedAtMs);
    if (worker.clock !== undefined && hasRestarted(worker.clock, reading)) {
        // Lease bounds on the earlier incarnation's clock do not hold for this one, which may run what that one was sent.
        worker.leaseUntilWorkerMs = reading.workerMs;
        worker.inheritedAtMs = reading.receivedAtMs;
    }
    if (worker.clock === undefined || reading.receivedAtMs >= worker.clock.receivedAtMs) {
        worker.clock = reading;
    }
}

/** A clock goes back only in a new incarnation. Answers to overlapping calls may arrive out of order and do not count. */
function hasRestarted(before: ClockReading, reading: ClockReading): boolean {
    return reading.sentAtMs >= before.receivedAtMs && reading.workerMs < before.workerMs;
}

/** Latest time that the worker's clock can show now. A request that is valid until later is never refused as late. */
export function latestWorkerMs({ clock }: Worker, nowMs: number): number | undefined {
    return clock === undefined ? undefined : Math.ceil(clock.workerMs + nowMs - clock.sentAtMs);
}

/** Earliest time that the worker's clock can show now; `undefined` if the clock has not been read. */
export function earliestWorkerMs({ clock }: Worker, nowMs: number): number | undefined {
    return clock === undefined ? undefined : clock.workerMs + (nowMs - clock.receivedAtMs) * minClockRate;
}

/** Longest local time, in milliseconds, in which the given span passes on the worker's clock. */
export function maxLocalMs(workerSpanMs: number): number {
    return workerSpanMs / minClockRate;
}
