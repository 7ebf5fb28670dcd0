/** Longest time from a decision to start until its order has reached the worker, in milliseconds. */
const decisionToStartMs = 1000;

/**
 * Whether what is known of the operators' instructions is new enough to start anything.
 *
 * An evacuation may have been asked for right after the last answer. An owner that can't hear of it stops starting in time,
 * whichever zone it would start in.
 *
 * @param ageMs how old the newest proof is that no newer instruction was accepted, in milliseconds
 * @param evacuateMs time after which an evacuation has to be followed, in milliseconds; `undefined`: there are none
 */
export function isFreshForStarts(ageMs: number | undefined, evacuateMs: number | undefined): boolean {
    return evacuateMs === undefined || (ageMs !== undefined && ageMs < evacuateMs - decisionToStartMs);
}
