/** Two readings of elapsed time, in milliseconds, for the two sides on which an error is harmless. */
export interface Clocks {
    /** Never ahead of the true elapsed time: for waiting until a right that somebody else holds has run out. */
    steadyMs(): number;
    /** Also counts time during which the machine was suspended: for deciding whether an own right still holds. */
    suspendAwareMs(): number;
}

/**
 * A suspended machine's steady clock stands still while leases at the store run out. The time of day goes on; of both
 * the one that advanced further counts. A time of day that jumps ahead makes this entry give up rights too early,
 * which costs a renewal; one that jumps back changes nothing.
 */
export function createClocks(): Clocks {
    let elapsedMs = 0;
    let lastSteadyMs = performance.now();
    let lastTimeOfDayMs = Date.now();
    return {
        steadyMs: () => performance.now(),
        suspendAwareMs() {
            const [steadyMs, timeOfDayMs] = [performance.now(), Date.now()];
            elapsedMs += Math.max(0, steadyMs - lastSteadyMs, timeOfDayMs - lastTimeOfDayMs);
            lastSteadyMs = steadyMs;
            lastTimeOfDayMs = timeOfDayMs;
            return elapsedMs;
        },
    };
}
