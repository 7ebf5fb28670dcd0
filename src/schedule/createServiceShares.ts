import { sizeCoreMs } from "../submissions";
import { createSizeClassifier, SizeClass, type SizeClassifier } from "./createSizeClassifier";
import type { SubmissionEntry } from "./schedulerState";

/** Counts, for each queue and size class, the submissions that arrived and those that were served. */
export interface ServiceShares {
    /** Classifies a submission within the rate of its account by its size and counts it. */
    recordArrival(entry: SubmissionEntry): void;
    /** Counts a submission as served: it is complete, has failed, or is promoted and so expected to end. Counts each once. */
    recordServed(entry: SubmissionEntry): void;
    /** Takes back that a submission counts as served. */
    recordMissed(entry: SubmissionEntry): void;
    /** Takes back that a submission arrived: its client has cancelled it. */
    recordCancelled(entry: SubmissionEntry): void;
    /** How many more of a submission's size class have to be served for the same share as of its queue; 0 if it has that. */
    shortfall(entry: SubmissionEntry): number;
}

type Counts = Record<SizeClass, number>;

interface QueueCounts {
    readonly classifier: SizeClassifier;
    readonly arrived: Counts;
    readonly served: Counts;
}

/** Submissions of a queue after which a count has lost most of its weight. */
const memorySubmissions = 200;

export function createServiceShares(): ServiceShares {
    const queues = new Map<string, QueueCounts>();

    function countsOf(queue: string): QueueCounts {
        const known = queues.get(queue);
        if (known !== undefined) {
            return known;
        }
        const counts = { classifier: createSizeClassifier(), arrived: createCounts(), served: createCounts() };
        queues.set(queue, counts);
        return counts;
    }

    function addServed({ submission: { route }, sizeClass }: SubmissionEntry, change: 1 | -1): void {
        if (sizeClass !== undefined) {
            countsOf(route).served[sizeClass] += change;
        }
    }

    function recordMissed(entry: SubmissionEntry): void {
        if (entry.countsAsServed) {
            entry.countsAsServed = false;
            addServed(entry, -1);
        }
    }

    return {
        recordArrival(entry) {
            const workCoreMs = sizeCoreMs(entry.submission);
            if (workCoreMs === undefined || entry.isExcess || entry.sizeClass !== undefined) {
                return;
            }
            const { classifier, arrived, served } = countsOf(entry.submission.route);
            fade(arrived);
            fade(served);
            entry.sizeClass = classifier.add(workCoreMs);
            arrived[entry.sizeClass]++;
        },
        recordServed(entry) {
            if (!entry.countsAsServed) {
                entry.countsAsServed = true;
                addServed(entry, 1);
            }
        },
        recordMissed,
        recordCancelled(entry) {
            const { submission: { route }, sizeClass } = entry;
            recordMissed(entry);
            if (sizeClass !== undefined) {
                const { arrived } = countsOf(route);
                arrived[sizeClass] = Math.max(0, arrived[sizeClass] - 1);
            }
        },
        shortfall({ submission: { route }, sizeClass }) {
            if (sizeClass === undefined) {
                return 0;
            }
            const { arrived, served } = countsOf(route);
            const queueShare = Math.min(1, sum(served) / Math.max(1, sum(arrived)));
            return Math.max(0, queueShare * arrived[sizeClass] - served[sizeClass]);
        },
    };
}

function createCounts(): Counts {
    return { smaller: 0, large: 0, largest: 0 };
}

function sum({ smaller, large, largest }: Counts): number {
    return smaller + large + largest;
}

function fade(counts: Counts): void {
    for (const sizeClass of Object.values(SizeClass)) {
        counts[sizeClass] *= 1 - 1 / memorySubmissions;
    }
}
