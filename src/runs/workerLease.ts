import type { Worker } from "../schedule";
import { earliestWorkerMs, longestMs } from "./workerClock";

/** Leases of what runs on workers, as far as a tenure can tell them. */
export interface LeaseBounds {
    /** Longest lease that an owner grants, in milliseconds. */
    readonly leaseMs: number;
    /** Longest lease that a worker gives, in milliseconds. */
    readonly maxLeaseMs: number;
    /** When the tenure began, on the steady clock. */
    readonly tenureStartedAtMs: number;
}

/** Allowance for orders of an earlier owner that were under way when its right ended, in milliseconds. */
const earlierOrdersMs = 1000;

/** A call that is about to leave may extend what runs on the worker until this time on its clock. */
export function noteLease(worker: Worker, untilWorkerMs: number): void {
    worker.leaseUntilWorkerMs = Math.max(worker.leaseUntilWorkerMs, untilWorkerMs);
}

/** Takes in what earlier owners may have granted at most, now that the worker obeys this one. */
export function noteEarlierLeases(worker: Worker, workerMs: number, { leaseMs }: LeaseBounds): void {
    noteLease(worker, workerMs + leaseMs + earlierOrdersMs);
}

/**
 * Whether nothing can run on a silent worker any more, by the slowest clock that it may have.
 *
 * Until the worker has shown its runs, earlier owners' leases are bounded by the age of the tenure alone. A reading of its
 * clock, which any answer gives, says nothing about them.
 */
export function isLeaseOver(worker: Worker, bounds: LeaseBounds, nowMs: number): boolean {
    const workerMs = earliestWorkerMs(worker, nowMs);
    const areKnownOver = (workerMs === undefined || workerMs > worker.leaseUntilWorkerMs)
        && areInheritedOver(worker, bounds, nowMs);
    switch (worker.runList.kind) {
        case "unread": {
            const earlierLeftMs = longestMs(bounds.leaseMs + earlierOrdersMs) - (nowMs - bounds.tenureStartedAtMs);
            return areKnownOver && earlierLeftMs < 0;
        }
        case "read":
            return areKnownOver;
    }
}

/** An order whose time was on the clock of an earlier life gave the longest lease that there is. */
function areInheritedOver({ inheritedAtMs }: Worker, { maxLeaseMs }: LeaseBounds, nowMs: number): boolean {
    return inheritedAtMs === undefined || nowMs - inheritedAtMs > longestMs(maxLeaseMs + earlierOrdersMs);
}
