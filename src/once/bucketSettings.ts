/** How claims are kept at the platform. */
export interface BucketSettings {
    /** Buckets over which keys are spread by hash; the same in every entry of a fleet. */
    readonly buckets: number;
    /** Mean time between two writes of one bucket under load, in milliseconds; an idle bucket is written at once. */
    readonly minWriteIntervalMs: number;
    /** Writes that may follow each other without that time after a quiet time. */
    readonly burstWrites: number;
    /** An open segment above this size is sealed, in bytes. */
    readonly sealBytes: number;
    /** Most sealed segments of a bucket; when all are in use, claims are refused. */
    readonly slots: number;
    /** How long a claim is kept at least, in milliseconds. */
    readonly retentionMs: number;
    /** How long a claim may take before its attempt is given up, in milliseconds. */
    readonly claimTimeoutMs: number;
    /** After the platform failed, claims are refused for this long without a call, in milliseconds. */
    readonly platformPauseMs: number;
    /** A cached bucket this fresh answers lookups at admission, in milliseconds. */
    readonly lookupCacheMs: number;
}

const dayMs = 24 * 3600 * 1000;

export const defaultBucketSettings: BucketSettings = {
    buckets: 4,
    minWriteIntervalMs: 200,
    burstWrites: 4,
    sealBytes: 64 * 1024,
    slots: 512,
    retentionMs: dayMs,
    claimTimeoutMs: 5000,
    platformPauseMs: 500,
    lookupCacheMs: 1000,
};
