/** Two clocks for elapsed time, in milliseconds. They differ in the direction in which an error is harmless. */
export interface Clocks {
    /** Never ahead of the true elapsed time: for waiting until another holder's lease has expired. */
    monotonicMs(): number;
    /** Also counts time during which the machine was suspended: for deciding whether an own lease is still valid. */
    suspendAwareMs(): number;
}

/**
 * By how much the wall clock has to gain on the monotonic clock before the difference counts as a suspension, in
 * milliseconds. `Date.now` shows whole milliseconds, and the two clocks are read one after the other.
 */
const suspensionToleranceMs = 8;

/**
 * While a machine is suspended, its monotonic clock stops and its leases at the store expire. The wall clock continues,
 * so its gain on the monotonic clock is added to the elapsed time. A wall clock that jumps ahead makes this entry give up
 * its leases too early, which costs a renewal. One that jumps back has no effect.
 *
 * The gain is measured from a fixed point and not from reading to reading: the rounding of each reading would add up.
 */
export function createClocks(): Clocks {
    const wallLeadMs = () => Date.now() - performance.now();
    let countedLeadMs = wallLeadMs();
    let suspendedMs = 0;
    return {
        monotonicMs: () => performance.now(),
        suspendAwareMs() {
            const leadMs = wallLeadMs();
            if (leadMs > countedLeadMs + suspensionToleranceMs) {
                suspendedMs += leadMs - countedLeadMs;
                countedLeadMs = leadMs;
            }
            else if (leadMs < countedLeadMs) {
                countedLeadMs = leadMs;
            }
            return performance.now() + suspendedMs;
        },
    };
}
