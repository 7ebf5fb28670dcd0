import type { Worker } from "../schedule";
import { earliestWorkerMs } from "./workerClock";

/** What an owner knows of a worker when it gives a run there up, as it is logged. */
export interface DropEvidence {
    readonly isWorkerListed: boolean;
    readonly silentMs: number | undefined;
    readonly clockFrom: string | undefined;
    readonly clockAgeMs: number | undefined;
    readonly leaseLeftMs: number | undefined;
}

export function dropEvidence(worker: Worker, nowMs: number): DropEvidence {
    const { clock, answeredAtMs, leaseUntilWorkerMs } = worker;
    const workerMs = earliestWorkerMs(worker, nowMs);
    return {
        isWorkerListed: worker.runList.kind === "read",
        silentMs: answeredAtMs === 0 ? undefined : Math.round(nowMs - answeredAtMs),
        clockFrom: clock?.from,
        clockAgeMs: clock === undefined ? undefined : Math.round(nowMs - clock.receivedAtMs),
        leaseLeftMs: workerMs === undefined ? undefined : Math.round(leaseUntilWorkerMs - workerMs),
    };
}
