import type { ClockReading, Worker } from "../schedule";

/** A worker's clock may be this much slower than ours (bound of the platform). */
const slowestRate = 0.98;

/** Takes in a reading of a worker's clock from an answer; an earlier one that arrives late changes nothing. */
export function noteClock(worker: Worker, reading: ClockReading): void {
    worker.answeredAtMs = Math.max(worker.answeredAtMs, reading.receivedAtMs);
    if (worker.clock !== undefined && hasRestarted(worker.clock, reading)) {
        // Bounds on the clock of the life before say nothing of this one, which has what was ordered of that life.
        worker.leaseUntilWorkerMs = reading.workerMs;
        worker.inheritedAtMs = reading.receivedAtMs;
    }
    if (worker.clock === undefined || reading.receivedAtMs >= worker.clock.receivedAtMs) {
        worker.clock = reading;
    }
}

/** A clock goes back only with a new life; answers to calls that overlap may arrive out of order. */
function hasRestarted(before: ClockReading, reading: ClockReading): boolean {
    return reading.sentAtMs >= before.receivedAtMs && reading.workerMs < before.workerMs;
}

/** The latest that the worker's clock can show now; an order is never taken for late by it. */
export function latestWorkerMs({ clock }: Worker, nowMs: number): number | undefined {
    return clock === undefined ? undefined : Math.ceil(clock.workerMs + nowMs - clock.sentAtMs);
}

/** The earliest that the worker's clock can show now. */
export function earliestWorkerMs({ clock }: Worker, nowMs: number): number | undefined {
    return clock === undefined ? undefined : clock.workerMs + (nowMs - clock.receivedAtMs) * slowestRate;
}

/** Longest time of ours in which a span on the worker's clock passes. */
export function longestMs(workerSpanMs: number): number {
    return workerSpanMs / slowestRate;
}
