import type { Worker } from "../schedule";

/** A worker's clock may be this much slower than ours (bound of the platform). */
const slowestRate = 0.98;

export function noteClock(worker: Worker, workerMs: number, sentAtMs: number, receivedAtMs: number): void {
    worker.answeredAtMs = Math.max(worker.answeredAtMs, receivedAtMs);
    // Answers on different connections overtake each other; the one that was under way for less tells more.
    if (worker.clock === undefined || receivedAtMs >= worker.clock.receivedAtMs) {
        worker.clock = { workerMs, sentAtMs, receivedAtMs };
    }
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
