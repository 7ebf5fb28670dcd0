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

export function createIndexRanges(): IndexRanges {
    return new RangeSet();
}

/** A class, as there is one for each step of each open occurrence: its methods are not objects of each instance. */
class RangeSet implements IndexRanges {
    size = 0;
    private readonly ranges: (readonly [first: number, end: number])[] = [];

    has(index: number): boolean {
        return this.findRange(index) !== undefined;
    }

    add(index: number): boolean {
        if (this.has(index)) {
            return false;
        }
        this.addRange([index, index + 1]);
        return true;
    }

    addRange([first, end]: IndexRange): void {
        if (first >= end) {
            return;
        }
        // Ranges that overlap the new one or are next to it become one.
        const position = this.findPosition(first);
        let [mergedFirst, mergedEnd] = [first, end];
        let count = 0;
        for (let range = this.ranges[position]; range !== undefined && range[0] <= mergedEnd;) {
            mergedFirst = Math.min(mergedFirst, range[0]);
            mergedEnd = Math.max(mergedEnd, range[1]);
            this.size -= range[1] - range[0];
            range = this.ranges[position + ++count];
        }
        this.ranges.splice(position, count, [mergedFirst, mergedEnd]);
        this.size += mergedEnd - mergedFirst;
    }

    nextMissing(index: number): number {
        return this.findRange(index)?.[1] ?? index;
    }

    list(): readonly IndexRange[] {
        return this.ranges;
    }

    /** Position of the first range that ends at or after an index. */
    private findPosition(index: number): number {
        let [low, high] = [0, this.ranges.length];
        while (low < high) {
            const middle = (low + high) >> 1;
            if ((this.ranges[middle]?.[1] ?? 0) < index) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }

    private findRange(index: number): IndexRange | undefined {
        const range = this.ranges[this.findPosition(index + 1)];
        return range !== undefined && range[0] <= index && index < range[1] ? range : undefined;
    }
}
