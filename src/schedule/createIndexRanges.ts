/** A range of indexes: the first, and the one after the last. */
export type IndexRange = readonly [first: number, end: number];

/** A set of indexes, stored as ranges. Its memory depends on the gaps between them and not on their number. */
export interface IndexRanges {
    readonly size: number;
    has(index: number): boolean;
    /** Adds an index. Returns whether it is new. */
    add(index: number): boolean;
    addRange(range: IndexRange): void;
    /** The first index from `index` on that is not in the set. */
    nextMissing(index: number): number;
    /** Disjoint ranges in ascending order. */
    list(): readonly IndexRange[];
}

export function createIndexRanges(initial: readonly IndexRange[] = []): IndexRanges {
    const ranges: [first: number, end: number][] = [];
    let size = 0;

    /** Position of the first range that ends at or after an index. */
    function findPosition(index: number): number {
        let [low, high] = [0, ranges.length];
        while (low < high) {
            const middle = (low + high) >> 1;
            if ((ranges[middle]?.[1] ?? 0) < index) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }

    function findRange(index: number): IndexRange | undefined {
        const position = findPosition(index + 1);
        const range = ranges[position];
        return range !== undefined && range[0] <= index && index < range[1] ? range : undefined;
    }

    function addRange([first, end]: IndexRange): void {
        if (first >= end) {
            return;
        }
        // Ranges that overlap the new one or are next to it become one.
        const position = findPosition(first);
        let [mergedFirst, mergedEnd] = [first, end];
        let count = 0;
        for (let at = position; at < ranges.length; at++) {
            const range = ranges[at];
            if (range === undefined || range[0] > mergedEnd) {
                break;
            }
            mergedFirst = Math.min(mergedFirst, range[0]);
            mergedEnd = Math.max(mergedEnd, range[1]);
            size -= range[1] - range[0];
            count++;
        }
        ranges.splice(position, count, [mergedFirst, mergedEnd]);
        size += mergedEnd - mergedFirst;
    }

    initial.forEach(addRange);
    return {
        get size() {
            return size;
        },
        has: (index) => findRange(index) !== undefined,
        add(index) {
            if (findRange(index) !== undefined) {
                return false;
            }
            addRange([index, index + 1]);
            return true;
        },
        addRange,
        nextMissing: (index) => findRange(index)?.[1] ?? index,
        list: () => ranges,
    };
}
