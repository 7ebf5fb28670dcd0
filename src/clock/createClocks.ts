/** Two clocks for elapsed time, in milliseconds. They differ in the direction in which an error is harmless. */
export interface Clocks {
    /** Never ahead of the true elapsed time: for waiting until another holder's lease has expired. */
    steadyMs(): number;
    /** Also counts time during which the machine was suspended: for deciding whether an own lease is still valid. */
    suspendAwareMs(): number;
}

/**
 * While a machine is suspended, its monotonic clock stops and its leases at the store expire. The wall clock continues,
 * so `suspendAwareMs` advances by the larger of both steps. A wall clock that jumps ahead makes this entry give up its
 * leases too early, which costs a renewal. One that jumps back has no effect.
 */
export function createClocks(): Clocks {
    let elapsedMs = 0;
    let lastMonotonicMs = performance.now();
    let lastWallClockMs = Date.now();
    return {
        steadyMs: () => performance.now(),
        suspendAwareMs() {
            const [monotonicMs, wallClockMs] = [performance.now(), Date.now()];
            elapsedMs += Math.max(0, monotonicMs - lastMonotonicMs, wallClockMs - lastWallClockMs);
            lastMonotonicMs = monotonicMs;
            lastWallClockMs = wallClockMs;
            return elapsedMs;
        },
    };
}
