import type { DropEvidence } from "../logging";
import type { Worker } from "../schedule";
import { earliestWorkerMs } from "./workerClock";

/** Collects what was known of the worker when one of its runs was dropped, for the log. */
export function collectDropEvidence(worker: Worker, tenureStartedAtMs: number, nowMs: number): DropEvidence {
    const { runList, clock, answeredAtMs, leaseUntilWorkerMs } = worker;
    const workerMs = runList.kind === "read" ? earliestWorkerMs(worker, nowMs) : undefined;
    return {
        runList: runList.kind,
        tenureAgeMs: Math.round(nowMs - tenureStartedAtMs),
        silentMs: answeredAtMs === 0 ? undefined : Math.round(nowMs - answeredAtMs),
        clockFrom: clock?.from,
        clockAgeMs: clock === undefined ? undefined : Math.round(nowMs - clock.receivedAtMs),
        leaseLeftMs: workerMs === undefined ? undefined : Math.round(leaseUntilWorkerMs - workerMs),
    };
}
