import type { Worker } from "../schedule";
import { earliestWorkerMs, latestWorkerMs, maxLocalMs } from "./workerClock";

/** What a tenure knows about the leases of runs on workers. */
export interface LeaseBounds {
    /** Longest lease that a leader grants, in milliseconds. */
    readonly leaseMs: number;
    /** Longest lease that a worker allows, in milliseconds. */
    readonly maxLeaseMs: number;
    /**
     * Time on the monotonic clock after which no earlier leader sends requests: when the tenure began, or when the tenure of
     * a leader that was replaced on evidence certainly ends.
     */
    readonly earlierLeadersUntilMs: number;
}

/**
 * Lease of runs on a worker, in milliseconds. With a shorter one, the work of an unresponsive worker restarts elsewhere
 * sooner. With a longer one, it survives longer outages of the store and changes of leaders: 2 s until the leader's lease
 * expires, a quarter of a second to take over, and the age of the last renewal.
 */
export const runLeaseMs = 4500;

/** How long after it is sent a start request may be carried out, in milliseconds. */
const startValidMs = 1800;

/** Allowance for requests of an earlier leader that were in flight when its tenure ended, in milliseconds. */
const inFlightRequestsMs = 1000;

/**
 * Time on the worker's clock until which a start request sent now may be carried out; `undefined` if the clock has not been
 * read. Without this bound, a delayed request could start the task seconds later, when it already runs elsewhere. The next
 * poll extends the lease of what was started.
 *
 * The older the clock reading, the further apart are the earliest and the latest time that the clock can show. By the
 * latest time alone, a start request would grant a longer lease than the next leader allows for. A request that is refused
 * as late returns a fresh reading.
 */
export function startValidUntilMs(worker: Worker, nowMs: number): number | undefined {
    const latestMs = latestWorkerMs(worker, nowMs);
    const earliestMs = earliestWorkerMs(worker, nowMs);
    return latestMs === undefined || earliestMs === undefined
        ? undefined
        : Math.floor(Math.min(latestMs + startValidMs, earliestMs + runLeaseMs));
}

/** Raises the upper bound of the worker's leases to a time on its clock; called before the request that may extend them. */
export function extendLeaseBound(worker: Worker, untilWorkerMs: number): void {
    worker.leaseUntilWorkerMs = Math.max(worker.leaseUntilWorkerMs, untilWorkerMs);
}

/**
 * Raises the upper bound to the longest lease that earlier leaders may have granted. To be called once the worker has seen
 * this tenure's token and so refuses their requests.
 */
export function boundEarlierLeases(worker: Worker, workerMs: number, { leaseMs }: LeaseBounds): void {
    extendLeaseBound(worker, workerMs + leaseMs + inFlightRequestsMs);
}

/**
 * Whether all leases on an unresponsive worker have expired, even by the slowest clock that it may have.
 *
 * Until the worker has listed its runs, leases of earlier leaders are bounded only by the time since these leaders
 * sent their last requests. A reading of its clock, which any answer contains, tells nothing about them.
 */
export function areLeasesExpired(worker: Worker, bounds: LeaseBounds, nowMs: number): boolean {
    const workerMs = earliestWorkerMs(worker, nowMs);
    const areKnownExpired = (workerMs === undefined || workerMs > worker.leaseUntilWorkerMs)
        && areInheritedExpired(worker, bounds, nowMs);
    switch (worker.runList.kind) {
        case "unread": {
            const earlierLeftMs = maxLocalMs(bounds.leaseMs + inFlightRequestsMs)
                - (nowMs - bounds.earlierLeadersUntilMs);
            return areKnownExpired && earlierLeftMs < 0;
        }
        case "read":
            return areKnownExpired;
    }
}

/**
 * Whether leases from requests that were sent to an earlier incarnation have expired. Their expiry is a time on that
 * incarnation's clock, which may be far ahead of the present one's, so they may have granted the longest lease that a
 * worker allows. A replaced leader may send such requests after this one has learned of the later incarnation.
 */
function areInheritedExpired({ inheritedAtMs }: Worker, bounds: LeaseBounds, nowMs: number): boolean {
    if (inheritedAtMs === undefined) {
        return true;
    }
    const lastSentAtMs = Math.max(inheritedAtMs, bounds.earlierLeadersUntilMs);
    return nowMs - lastSentAtMs > maxLocalMs(bounds.maxLeaseMs + inFlightRequestsMs);
}
