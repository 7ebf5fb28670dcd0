import type { Run } from "../schedule";

/** Limits how many starts are in flight at once. */
export interface StartWindow {
    /** Number of starts that may be added now. */
    free(): number;
    /** Bound on all starts in flight. */
    size(): number;
    /** Number of starts in flight by pool. */
    inFlightByPool(): ReadonlyMap<string, number>;
    /** Adds runs that are about to be recorded and started. */
    add(runs: readonly Run[]): void;
    /** Adapts the window to the response time of a start request, in milliseconds. */
    recordAnswer(tookMs: number): void;
}

/** Bounds of the window, in starts. The upper one is what one planning round may start on an instance that keeps up. */
const minStarts = 8;
const maxStarts = 200;

/**
 * Response time above which the window shrinks, in milliseconds. Workers answer within about 10 ms; longer than this, the
 * leader itself or its link delays the answers. A new leader is slow at first and needs its full window
 * at that time, so the limit is not much below the time after which a start counts as unanswered.
 */
const lateAnswerMs = 150;

/** Response time below which the window grows, in milliseconds. */
const promptAnswerMs = 75;

/** Starts that a prompt answer adds to the window. */
const growthStarts = 2;

/** Factor applied to the window on a late answer. */
const shrinkFactor = 0.7;

/** Shortest time between two reductions of the window, in milliseconds: late answers come in groups with one cause. */
const minShrinkIntervalMs = 200;

/**
 * Limits the starts in flight to what the leader and its link handle in time (additive increase, multiplicative decrease).
 *
 * A leader that sends all placed starts at once can be far slower than its workers. Its own timeouts then count answers as
 * lost, it stops runs that have just started, lease renewals queue behind starts, and leases of healthy runs expire.
 * With the window, work that the leader can't start yet waits in the scheduler state, and lease renewals and ends go
 * first.
 */
export function createStartWindow(nowMs: () => number): StartWindow {
    const inFlight = new Set<Run>();
    let size = maxStarts;
    let shrunkAtMs = Number.NEGATIVE_INFINITY;

    function removeSettled(): void {
        for (const run of inFlight) {
            const isPending = run.phase === "recording" || run.phase === "starting";
            if (!isPending || !run.worker.runs.has(run)) {
                inFlight.delete(run);
            }
        }
    }

    return {
        free() {
            removeSettled();
            return Math.max(0, Math.floor(size) - inFlight.size);
        },
        size: () => Math.floor(size),
        inFlightByPool() {
            removeSettled();
            const counts = new Map<string, number>();
            for (const { worker: { pool } } of inFlight) {
                counts.set(pool, (counts.get(pool) ?? 0) + 1);
            }
            return counts;
        },
        add: (runs) => runs.forEach((run) => inFlight.add(run)),
        recordAnswer(tookMs) {
            if (tookMs < promptAnswerMs) {
                size = Math.min(maxStarts, size + growthStarts);
            }
            else if (tookMs > lateAnswerMs && nowMs() - shrunkAtMs > minShrinkIntervalMs) {
                shrunkAtMs = nowMs();
                size = Math.max(minStarts, size * shrinkFactor);
            }
        },
    };
}
