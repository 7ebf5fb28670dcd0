import type { Worker } from "../schedule";
import { earliestWorkerMs, latestWorkerMs, longestMs } from "./workerClock";

/** Leases of what runs on workers, as far as a tenure can tell them. */
export interface LeaseBounds {
    /** Longest lease that an owner grants, in milliseconds. */
    readonly leaseMs: number;
    /** Longest lease that a worker gives, in milliseconds. */
    readonly maxLeaseMs: number;
    /** When the tenure began, on the steady clock. */
    readonly tenureStartedAtMs: number;
}

/**
 * Lease of what runs on a worker, in milliseconds. Shorter: work of a worker that fell silent starts again elsewhere
 * sooner. Longer: it lives through longer outages of the store and changes of owners (2 s until the duty is free, and
 * a quarter of a second to take over, plus the age of the last extension).
 */
export const runLeaseMs = 4500;

/** How long a start may be carried out after it was sent, in milliseconds. */
const startValidMs = 1800;

/** Allowance for orders of an earlier owner that were under way when its right ended, in milliseconds. */
const earlierOrdersMs = 1000;

/**
 * Until when on the worker's clock a start that is sent now may be carried out. An order that is held up would otherwise
 * begin seconds later, when the task already runs elsewhere. The next look extends the lease of those that began.
 *
 * The older the reading of the clock, the further apart the earliest and the latest that it can show: by the latest alone, a
 * start would grant more than the next owner allows for. One that is refused as late brings a fresh reading.
 */
export function startValidUntilMs(worker: Worker, nowMs: number): number | undefined {
    const latestMs = latestWorkerMs(worker, nowMs);
    const earliestMs = earliestWorkerMs(worker, nowMs);
    return latestMs === undefined || earliestMs === undefined
        ? undefined
        : Math.floor(Math.min(latestMs + startValidMs, earliestMs + runLeaseMs));
}

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
