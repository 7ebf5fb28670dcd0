import type { Run } from "../schedule";

/** How many starts may be under way at once. */
export interface StartWindow {
    /** Starts that may be added now. */
    free(): number;
    /** These runs are about to be recorded and ordered. */
    add(runs: readonly Run[]): void;
    /** A worker has answered a start that was sent this long ago, in milliseconds. */
    noteAnswer(tookMs: number): void;
}

/** Bounds of the window, in starts. The most is what one round of planning may begin on an instance that keeps up. */
const leastStarts = 8;
const mostStarts = 200;

/**
 * Workers answer within about 10 ms; beyond this the owner itself, or its link, is what holds answers up, in milliseconds.
 * An owner that has just begun is late with everything for a moment and needs its full window right then, so the limit is
 * not much below the time after which a start counts as unanswered.
 */
const lateAnswerMs = 150;

/** Answers below this make room for more, in milliseconds. */
const promptAnswerMs = 75;

/** Starts by which a prompt answer widens the window. */
const growth = 2;

/** Part of the window that is left after a late answer. */
const shrinkFactor = 0.7;

/** The window shrinks once in this time at most, in milliseconds: late answers come in groups of one cause. */
const shrinkPauseMs = 200;

/**
 * Bounds the starts under way to what the owner and its link get through in time (additive increase, multiplicative
 * decrease).
 *
 * An owner that sends all that has a place at once can be far slower than its workers. Its own timers then take answers
 * for lost, it stops what has just begun, extensions of leases queue behind starts, and work lapses that ran well. With
 * the window, work that the owner can't order yet waits on the board, and leases and ends go first.
 */
export function createStartWindow(nowMs: () => number): StartWindow {
    const underWay = new Set<Run>();
    let size = mostStarts;
    let shrunkAtMs = Number.NEGATIVE_INFINITY;

    function forgetSettled(): void {
        for (const run of underWay) {
            const isOpen = run.phase === "recording" || run.phase === "starting";
            if (!isOpen || !run.worker.runs.has(run)) {
                underWay.delete(run);
            }
        }
    }

    return {
        free() {
            forgetSettled();
            return Math.max(0, Math.floor(size) - underWay.size);
        },
        add: (runs) => runs.forEach((run) => underWay.add(run)),
        noteAnswer(tookMs) {
            if (tookMs < promptAnswerMs) {
                size = Math.min(mostStarts, size + growth);
            }
            else if (tookMs > lateAnswerMs && nowMs() - shrunkAtMs > shrinkPauseMs) {
                shrunkAtMs = nowMs();
                size = Math.max(leastStarts, size * shrinkFactor);
            }
        },
    };
}
