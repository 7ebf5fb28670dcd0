/** Most tokens that the bucket of an account holds: those of one second, and one. */
export function bucketCapacity(weightPerSecond: number): number {
    return weightPerSecond + 1;
}
