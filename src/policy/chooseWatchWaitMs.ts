import { watchOverdueMs } from "../store";

/**
 * Longest wait of one watch, in milliseconds. The age of the configuration is counted from the time at which the last
 * answered watch was sent, so this bounds the age while the store answers. A withdrawn key has to stop working within
 * 5,000 ms even on an entry that is cut off, and such an entry stops taking requests with keys soon after. With this wait,
 * each entry makes 0.7 calls a second, which count against the platform's limit of calls.
 */
const maxWatchWaitMs = 1500;

/** Shortest wait of one watch, in milliseconds. It limits the number of calls where the bound is short. */
const minWatchWaitMs = 300;

/** Time for a repeated watch to be answered and its answer to be applied, in milliseconds. */
const applyReserveMs = 300;

/**
 * Chooses the wait of one watch so that a version is applied in time even if the watch falls silent, in milliseconds.
 *
 * @param configApplyMs time within which a confirmed version has to be in force, in milliseconds; `undefined` for no bound
 */
export function chooseWatchWaitMs(configApplyMs: number | undefined): number {
    if (configApplyMs === undefined) {
        return maxWatchWaitMs;
    }
    const waitMs = configApplyMs - watchOverdueMs - applyReserveMs;
    return Math.min(maxWatchWaitMs, Math.max(minWatchWaitMs, waitMs));
}
