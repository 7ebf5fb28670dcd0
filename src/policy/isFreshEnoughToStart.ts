/** Longest time from the decision to start a task until the order has reached the worker, in milliseconds. */
const decisionToStartMs = 1000;

/**
 * Whether the view of the operators' instructions is recent enough to start tasks.
 *
 * An evacuation may have been requested right after the last answer of the store. A leader that can't learn of it stops
 * all starts before the evacuation has to be followed, in every availability zone.
 *
 * @param ageMs age of the view, in milliseconds: every instruction accepted longer ago is known here; `undefined`
 *     before the first answer
 * @param evacuateMs time within which an evacuation has to be followed, in milliseconds; `undefined` where there are no evacuations
 */
export function isFreshEnoughToStart(ageMs: number | undefined, evacuateMs: number | undefined): boolean {
    return evacuateMs === undefined || (ageMs !== undefined && ageMs < evacuateMs - decisionToStartMs);
}
