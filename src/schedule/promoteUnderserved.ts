import type { Submission } from "../submissions";
import type { ServiceShares } from "./createServiceShares";
import { estimateRemaining } from "./estimateRemaining";
import type { DurationEstimates } from "./estimates";
import type { SubmissionQueue } from "./queueOf";
import { hasStartable } from "./rankSubmissions";
import type { SubmissionEntry } from "./schedulerState";
import { findTimeliness, Timeliness } from "./timeliness";

export interface PromoteOptions {
    readonly entries: readonly SubmissionEntry[];
    readonly shares: ServiceShares;
    readonly queueOf: (submission: Submission) => SubmissionQueue;
    readonly estimates: DurationEstimates;
    readonly nowMs: number;
    readonly timeOfDayMs: number;
}

interface Candidate {
    readonly entry: SubmissionEntry;
    readonly isInTime: boolean;
    readonly workCoreMs: number;
}

/**
 * Promotes submissions of size classes that have been served less than their queue: those that can be in time before late
 * ones, and then those with the least remaining work.
 *
 * Ranked by remaining work alone, the large submissions of a queue get nothing while smaller ones fill its pool. A
 * submission stays promoted until it ends, or can't end in a useful time any more: capacity for a part of a submission
 * serves nobody.
 */
export function promoteUnderserved(opts: PromoteOptions): void {
    const { shares } = opts;
    const candidates: Candidate[] = [];
    for (const entry of opts.entries) {
        if (entry.isPromoted) {
            if (findBestTimeliness(entry, opts) === Timeliness.tooLate) {
                entry.isPromoted = false;
                shares.recordMissed(entry);
            }
        }
        else if (isUnderserved(entry, shares) && isOpen(entry) && hasStartable(entry, opts.nowMs)) {
            const timeliness = findBestTimeliness(entry, opts);
            if (timeliness !== Timeliness.tooLate) {
                const { workCoreMs } = estimateRemaining(entry, opts.estimates, opts.nowMs);
                candidates.push({ entry, isInTime: timeliness === Timeliness.inTime, workCoreMs });
            }
        }
    }
    candidates.sort((a, b) => Number(b.isInTime) - Number(a.isInTime) || a.workCoreMs - b.workCoreMs);
    for (const { entry } of candidates) {
        if (isUnderserved(entry, shares)) {
            entry.isPromoted = true;
            shares.recordServed(entry);
        }
    }
}

/** Whether the size class of a submission is short of at least one. */
function isUnderserved(entry: SubmissionEntry, shares: ServiceShares): boolean {
    return shares.shortfall(entry) >= 1;
}

function isOpen({ finalState, isCancelled }: SubmissionEntry): boolean {
    return finalState === undefined && !isCancelled;
}

/** Timeliness of a submission if it never waits from now on. */
function findBestTimeliness(entry: SubmissionEntry, opts: PromoteOptions): Timeliness {
    const remaining = estimateRemaining(entry, opts.estimates, opts.nowMs);
    const endAgeMs = opts.timeOfDayMs - entry.submission.acceptedAtMs + remaining.criticalPathMs;
    return findTimeliness(endAgeMs, opts.queueOf(entry.submission), remaining);
}
