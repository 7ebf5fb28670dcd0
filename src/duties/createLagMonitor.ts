/** Reports whether this process gets too little processor time to schedule for the fleet. */
export interface LagMonitor {
    isSlow(): boolean;
    start(): void;
    stop(): void;
}

/** Interval of the timer whose lateness is sampled, in milliseconds. */
const sampleMs = 100;

/** Mean lateness of timers over the last second, in milliseconds, above which requests to workers are late too. */
const slowLagMs = 120;

/** Weight of the newest sample: about the last ten count. */
const sampleWeight = 0.1;

/** An entry counts as slow for this long after a slow sample, in milliseconds, so that leadership does not flap. */
const recoverMs = 4000;

/**
 * Measures event loop lag: how late timers fire.
 *
 * A machine that runs several times slower than usual still renews its lease in time. Without this check it would stay
 * leader, and every start in the fleet would be late.
 */
export function createLagMonitor(): LagMonitor {
    let meanLagMs = 0;
    let sampledAtMs = 0;
    let slowUntilMs = Number.NEGATIVE_INFINITY;
    let timer: NodeJS.Timeout | undefined;

    function sample(): void {
        const nowMs = performance.now();
        const lagMs = Math.max(0, nowMs - sampledAtMs - sampleMs);
        sampledAtMs = nowMs;
        meanLagMs += (lagMs - meanLagMs) * sampleWeight;
        if (meanLagMs > slowLagMs) {
            slowUntilMs = nowMs + recoverMs;
        }
    }

    return {
        isSlow: () => performance.now() < slowUntilMs,
        start() {
            sampledAtMs = performance.now();
            timer = setInterval(sample, sampleMs);
        },
        stop: () => clearInterval(timer),
    };
}
