/** Tells whether this process gets too little processor time to decide for the fleet. */
export interface LagGuard {
    isSlow(): boolean;
    start(): void;
    stop(): void;
}

/** How often the event loop is looked at, in milliseconds. */
const lookMs = 100;

/** Timers that are later than this on the mean of the last second mean that orders are late too, in milliseconds. */
const slowLagMs = 120;

/** Weight of the newest look: about the last ten count. */
const lookWeight = 0.1;

/** After it was slow, an entry counts as slow for this long, in milliseconds, so that duties do not go to and fro. */
const recoverMs = 4000;

/**
 * Measures how late the runtime's timers fire. A machine that runs several times slower still renews its lease in time;
 * without this it would keep the duty, and every start in the fleet would be late with it.
 */
export function createLagGuard(): LagGuard {
    let meanLagMs = 0;
    let lookedAtMs = 0;
    let slowUntilMs = Number.NEGATIVE_INFINITY;
    let timer: NodeJS.Timeout | undefined;

    function look(): void {
        const nowMs = performance.now();
        const lagMs = Math.max(0, nowMs - lookedAtMs - lookMs);
        lookedAtMs = nowMs;
        meanLagMs += (lagMs - meanLagMs) * lookWeight;
        if (meanLagMs > slowLagMs) {
            slowUntilMs = nowMs + recoverMs;
        }
    }

    return {
        isSlow: () => performance.now() < slowUntilMs,
        start() {
            lookedAtMs = performance.now();
            timer = setInterval(look, lookMs);
        },
        stop: () => clearInterval(timer),
    };
}
