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
     * Tokens of an account, less what its excess submissions would have taken: from `maxDebtSeconds` of its rate below zero
     * to one second's tokens plus one. Infinite for an account without a bucket.
     *
     * Admission reads this level. Many entries decide by it at the same time; a level of 0 at least would soon have a token
     * again, for which each entry would accept a submission.
     */
    tokens(account: string, nowMs: number): number;
}

interface Bucket {
    weightPerSecond: number;
    /** Tokens for conforming submissions, 0 or more. */
    tokens: number;
    /** The same, less what excess submissions would have taken. */
    balance: number;
    /** Time up to which the bucket is filled; it goes back only with the leader's clock. */
    filledAtMs: number;
}

/**
 * Most tokens that the balance can be below zero, in seconds of the rate. Submissions within the rate are refused as well
 * until it is paid back; the tokens that they leave serve the submissions after them.
 */
const maxDebtSeconds = 0.5;

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
        bucket.balance = limitBalance(bucket, bucket.balance);
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
            bucket.balance = limitBalance(bucket, bucket.balance - 1);
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
            return fill(bucket, nowMs).balance;
        },
    };
}

function createBucket(weightPerSecond: number): Bucket {
    // Submissions of the store are replayed from before the bucket was created, so its time is set by the first one.
    const tokens = weightPerSecond + 1;
    return { weightPerSecond, tokens, balance: tokens, filledAtMs: Number.NEGATIVE_INFINITY };
}

function limitBalance(bucket: Bucket, balance: number): number {
    return Math.min(capacityOf(bucket), Math.max(-maxDebtSeconds * bucket.weightPerSecond, balance));
}

function capacityOf({ weightPerSecond }: Bucket): number {
    return weightPerSecond + 1;
}

/** After the leader's clock was set back, the bucket would get no tokens until the clock has caught up. */
function followClock(bucket: Bucket, nowMs: number): void {
    bucket.filledAtMs = Math.min(bucket.filledAtMs, nowMs);
}

/** Tokens of a bucket at a time; at an earlier time than that of the bucket they are unchanged. */
function fill(bucket: Bucket, atMs: number): Pick<Bucket, "tokens" | "balance" | "filledAtMs"> {
    const { weightPerSecond, tokens, balance, filledAtMs } = bucket;
    const gained = weightPerSecond * Math.max(0, atMs - filledAtMs) / 1000;
    return {
        tokens: Math.min(capacityOf(bucket), tokens + gained),
        balance: limitBalance(bucket, balance + gained),
        filledAtMs: Math.max(filledAtMs, atMs),
    };
}
