/** How claims are stored on the platform. */
export interface BucketSettings {
    /** Number of buckets that keys are spread over by hash; must be the same in every entry of a fleet. */
    readonly bucketCount: number;
    /** Mean interval between writes of one bucket under load, in milliseconds; an idle bucket is written at once. */
    readonly writeIntervalMs: number;
    /** Number of writes that may follow each other without that interval after an idle period. */
    readonly burstWrites: number;
    /**
     * The open segment of a bucket is sealed before a write would make the bucket's head larger than this, in bytes.
     */
    readonly sealThresholdBytes: number;
    /** Maximum number of sealed segments of a bucket; when all slots are in use, claims are refused. */
    readonly slotCount: number;
    /** Minimum time that a claim is kept, in milliseconds. */
    readonly retentionMs: number;
    /** Timeout for making a claim durable, in milliseconds. */
    readonly claimTimeoutMs: number;
    /** After a failed platform call, claims and lookups are refused for this long without a call, in milliseconds. */
    readonly platformBackoffMs: number;
    /** Maximum age of a cached bucket that may answer lookups at admission, in milliseconds. */
    readonly lookupMaxAgeMs: number;
}

const dayMs = 24 * 3600 * 1000;

export const defaultBucketSettings: BucketSettings = {
    bucketCount: 4,
    writeIntervalMs: 200,
    burstWrites: 4,
    sealThresholdBytes: 64 * 1024,
    slotCount: 512,
    retentionMs: dayMs,
    claimTimeoutMs: 5000,
    platformBackoffMs: 500,
    lookupMaxAgeMs: 1000,
};
