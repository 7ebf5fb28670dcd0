/** Whether a submission is within the rate of its client account. */
export const SubmissionClass = { conforming: "conforming", excess: "excess" } as const;
export type SubmissionClass = (typeof SubmissionClass)[keyof typeof SubmissionClass];

/** Token buckets of client accounts. All times are in milliseconds since 1970. */
export interface AccountRates {
    /**
     * Sets the rates in force from now on, in submissions per second. Accounts that are left out or have a rate of 0 have
     * no bucket.
     */
    setWeights(weightsPerSecond: ReadonlyMap<string, number>, nowMs: number): void;
    /** Counts an accepted submission. It is conforming if its account has a token, which it takes, or has no bucket. */
    recordAccepted(account: string | undefined, acceptedAtMs: number, nowMs: number): SubmissionClass;
    /**
     * Tokens of an account: from 0 to one second's tokens plus one. A submission that is accepted while there is one is
     * conforming. Infinite for an account without a bucket.
     */
    tokens(account: string, nowMs: number): number;
}

interface Bucket {
    weightPerSecond: number;
    tokens: number;
    /** Time up to which the bucket is filled; it goes back only with the leader's clock. */
    filledAtMs: number;
}

/**
 * Creates buckets that are full at first. Excess submissions take no tokens: otherwise an account far beyond its rate
 * would have no conforming submissions at all.
 */
export function createAccountRates(): AccountRates {
    const buckets = new Map<string, Bucket>();

    function changeWeight(bucket: Bucket, weightPerSecond: number, nowMs: number): void {
        if (bucket.weightPerSecond === weightPerSecond) {
            return;
        }
        followClock(bucket, nowMs);
        Object.assign(bucket, fill(bucket, nowMs), { weightPerSecond });
        bucket.tokens = Math.min(bucket.tokens, capacityOf(bucket));
    }

    return {
        setWeights(weightsPerSecond, nowMs) {
            for (const account of [...buckets.keys()]) {
                if (!((weightsPerSecond.get(account) ?? 0) > 0)) {
                    buckets.delete(account);
                }
            }
            for (const [account, weightPerSecond] of weightsPerSecond) {
                const bucket = buckets.get(account);
                if (bucket !== undefined) {
                    changeWeight(bucket, weightPerSecond, nowMs);
                }
                else if (weightPerSecond > 0) {
                    buckets.set(account, createBucket(weightPerSecond));
                }
            }
        },
        recordAccepted(account, acceptedAtMs, nowMs) {
            const bucket = account === undefined ? undefined : buckets.get(account);
            if (bucket === undefined) {
                return SubmissionClass.conforming;
            }
            followClock(bucket, nowMs);
            // A time ahead of this clock, from an entry whose clock is wrong, would stop the bucket until that time.
            Object.assign(bucket, fill(bucket, Math.min(acceptedAtMs, nowMs)));
            if (bucket.tokens < 1) {
                return SubmissionClass.excess;
            }
            bucket.tokens--;
            return SubmissionClass.conforming;
        },
        tokens(account, nowMs) {
            const bucket = buckets.get(account);
            if (bucket === undefined) {
                return Number.POSITIVE_INFINITY;
            }
            followClock(bucket, nowMs);
            return fill(bucket, nowMs).tokens;
        },
    };
}

function createBucket(weightPerSecond: number): Bucket {
    // Submissions of the store are replayed from before the bucket was created, so its time is set by the first one.
    return { weightPerSecond, tokens: weightPerSecond + 1, filledAtMs: Number.NEGATIVE_INFINITY };
}

function capacityOf({ weightPerSecond }: Bucket): number {
    return weightPerSecond + 1;
}

/** After the leader's clock was set back, the bucket would get no tokens until the clock has caught up. */
function followClock(bucket: Bucket, nowMs: number): void {
    bucket.filledAtMs = Math.min(bucket.filledAtMs, nowMs);
}

/** Tokens of a bucket at a time; at an earlier time than that of the bucket they are unchanged. */
function fill(bucket: Bucket, atMs: number): Pick<Bucket, "tokens" | "filledAtMs"> {
    const { weightPerSecond, tokens, filledAtMs } = bucket;
    const gained = weightPerSecond * Math.max(0, atMs - filledAtMs) / 1000;
    return {
        tokens: Math.min(capacityOf(bucket), tokens + gained),
        filledAtMs: Math.max(filledAtMs, atMs),
    };
}
