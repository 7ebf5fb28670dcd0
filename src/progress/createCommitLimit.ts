/** Limits the number of concurrent commits. */
export interface CommitLimit {
    /** Number of commits that may be in flight. */
    current(): number;
    /** Moving average of the store's answer times, in milliseconds. */
    meanAnswerMs(): number;
    /** Records the time in which the store answered a commit, in milliseconds. */
    recordAnswer(tookMs: number): void;
    /** Records that the store refused a commit because it received too many calls. */
    recordRateLimited(): void;
}

/** Concurrent commits while the store is fast. */
const minCommits = 4;

/** Most concurrent commits. The client of the store has this many connections besides those for other calls. */
export const maxConcurrentCommits = 24;

/** Answer time up to which `minCommits` are enough, in milliseconds: commits are at least this far apart. */
const fastAnswerMs = 30;

/** Weight of the newest answer: about the last five count, so that the limit follows within a second. */
const newestWeight = 0.2;

/** Factor applied to the limit when the store refuses a commit. */
const rateLimitedFactor = 0.5;

/**
 * Follows the store's answer time, so that a slow store records as much per second as a fast one.
 *
 * A leader of 246 workers records several hundred submissions a second. With a fixed number of commits, a store that
 * takes 200 ms to answer would record a sixth of that, and starts would wait for their records.
 */
export function createCommitLimit(): CommitLimit {
    let meanAnswerMs = 0;
    let ceiling = maxConcurrentCommits;

    function current(): number {
        const wanted = Math.ceil(minCommits * meanAnswerMs / fastAnswerMs);
        return Math.floor(Math.min(ceiling, Math.max(minCommits, wanted)));
    }

    return {
        current,
        meanAnswerMs: () => meanAnswerMs,
        recordAnswer(tookMs) {
            meanAnswerMs += newestWeight * (tookMs - meanAnswerMs);
            ceiling = Math.min(maxConcurrentCommits, ceiling + 1);
        },
        recordRateLimited() {
            ceiling = Math.max(1, current() * rateLimitedFactor);
        },
    };
}
