import { performance } from "node:perf_hooks";

/** Reports whether this process spends most of its time working. */
export interface LoadMeter {
    isBusy(): boolean;
    start(): void;
    stop(): void;
}

/** Sampling interval of the event loop's utilization, in milliseconds. */
const sampleMs = 500;

/** Weight of the newest sample: about the last two seconds count, so that the load of startup alone does not. */
const sampleWeight = 0.25;

/** Hysteresis: shares of time spent working above which the process becomes busy, and down to which it stays busy. */
const busyShare = 0.7;
const calmShare = 0.3;

/**
 * Measures the share of time that the event loop is active, as an exponentially weighted mean.
 *
 * @param onChange called with the new state whenever the process becomes busy or stops being busy
 */
export function createLoadMeter(onChange: (isBusy: boolean) => void): LoadMeter {
    let share = 0;
    let isBusy = false;
    let last = performance.eventLoopUtilization();
    let timer: NodeJS.Timeout | undefined;

    function sample(): void {
        const now = performance.eventLoopUtilization();
        share += (performance.eventLoopUtilization(now, last).utilization - share) * sampleWeight;
        last = now;
        const wasBusy = isBusy;
        isBusy = share > (wasBusy ? calmShare : busyShare);
        if (isBusy !== wasBusy) {
            onChange(isBusy);
        }
    }

    return {
        isBusy: () => isBusy,
        start() {
            timer = setInterval(sample, sampleMs);
        },
        stop: () => clearInterval(timer),
    };
}
