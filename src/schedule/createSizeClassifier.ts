/** Size of a submission compared with others of its queue: the largest tenth, the fifth below it, or smaller. */
export const SizeClass = { smaller: "smaller", large: "large", largest: "largest" } as const;
export type SizeClass = (typeof SizeClass)[keyof typeof SizeClass];

/** Classifies the submissions of one queue. */
export interface SizeClassifier {
    /** Adds a submission and returns its class among the latest ones. */
    add(workCoreMs: number): SizeClass;
}

/** Latest submissions of a queue that are compared. */
const maxCompared = 200;

/** With fewer submissions the largest tenth would be hardly one. */
const minCompared = 10;

/** Shares of the submissions that are smaller than the large and the largest ones. */
const [largeFrom, largestFrom] = [0.7, 0.9];

export function createSizeClassifier(): SizeClassifier {
    /** In the order of arrival, and in ascending order. */
    const latest: number[] = [];
    const ascending: number[] = [];

    return {
        add(workCoreMs) {
            const oldest = latest.length < maxCompared ? undefined : latest.shift();
            if (oldest !== undefined) {
                ascending.splice(findPosition(ascending, oldest), 1);
            }
            latest.push(workCoreMs);
            const position = findPosition(ascending, workCoreMs);
            ascending.splice(position, 0, workCoreMs);
            const smallerShare = position / ascending.length;
            if (ascending.length < minCompared || smallerShare < largeFrom) {
                return SizeClass.smaller;
            }
            return smallerShare < largestFrom ? SizeClass.large : SizeClass.largest;
        },
    };
}

/** Position of the first value that is at least as large. */
function findPosition(ascending: readonly number[], value: number): number {
    let [from, to] = [0, ascending.length];
    while (from < to) {
        const middle = (from + to) >> 1;
        if (ascending[middle]! < value) {
            from = middle + 1;
        }
        else {
            to = middle;
        }
    }
    return from;
}
