/** Deadlines of many members; the callback is called once for each member whose deadline passes. */
export interface TimerWheel<T> {
    add(member: T, atMs: number): void;
    /** Removes a member; `atMs` is the deadline with which it was added. */
    remove(member: T, atMs: number): void;
    stop(): void;
}

/** Resolution of deadlines, in milliseconds. */
const bucketMs = 20;

/**
 * Keeps many deadlines with one timer. Members whose deadlines fall into the same bucket share a set, so the cost of
 * adding or removing a member doesn't depend on how many there are.
 */
export function createTimerWheel<T>(onExpired: (member: T) => void): TimerWheel<T> {
    const buckets = new Map<number, Set<T>>();
    let lastBucket = Math.floor(Date.now() / bucketMs);
    let timer: NodeJS.Timeout | undefined;

    function bucketOf(atMs: number): number {
        return Math.max(lastBucket + 1, Math.ceil(atMs / bucketMs));
    }

    function tick(): void {
        const currentBucket = Math.floor(Date.now() / bucketMs);
        const expired: T[] = [];
        for (; lastBucket < currentBucket && buckets.size > 0; lastBucket++) {
            expired.push(...buckets.get(lastBucket + 1) ?? []);
            buckets.delete(lastBucket + 1);
        }
        lastBucket = currentBucket;
        if (buckets.size === 0) {
            clearInterval(timer);
            timer = undefined;
        }
        expired.forEach(onExpired);
    }

    return {
        add(member, atMs) {
            if (timer === undefined) {
                lastBucket = Math.floor(Date.now() / bucketMs);
                timer = setInterval(tick, bucketMs);
            }
            const bucket = bucketOf(atMs);
            const members = buckets.get(bucket) ?? new Set();
            buckets.set(bucket, members);
            members.add(member);
        },
        remove(member, atMs) {
            const members = buckets.get(Math.ceil(atMs / bucketMs));
            members?.delete(member);
            if (members?.size === 0) {
                buckets.delete(Math.ceil(atMs / bucketMs));
            }
        },
        stop() {
            clearInterval(timer);
            timer = undefined;
        },
    };
}
