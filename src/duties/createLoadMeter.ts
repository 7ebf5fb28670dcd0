import { performance } from "node:perf_hooks";

/** Tells whether this process spends most of its time working. */
export interface LoadMeter {
    isBusy(): boolean;
    start(): void;
    stop(): void;
}

/** How often the share of time spent working is read, in milliseconds. */
const lookMs = 500;

/** Weight of the newest look: about the last two seconds count, so that the rush of a start alone does not. */
const lookWeight = 0.25;

/** Shares of time spent working at which the process counts as busy, and from which on no longer. */
const busyShare = 0.7;
const calmShare = 0.3;

/**
 * Measures the share of time that the event loop works, as against waiting for something to happen.
 *
 * @param onChange told whether the process counts as busy, whenever that changes
 */
export function createLoadMeter(onChange: (isBusy: boolean) => void): LoadMeter {
    let share = 0;
    let isBusy = false;
    let last = performance.eventLoopUtilization();
    let timer: NodeJS.Timeout | undefined;

    function look(): void {
        const now = performance.eventLoopUtilization();
        share += (performance.eventLoopUtilization(now, last).utilization - share) * lookWeight;
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
            timer = setInterval(look, lookMs);
        },
        stop: () => clearInterval(timer),
    };
}
