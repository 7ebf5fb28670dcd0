import type { Clocks } from "../clock";
import type { Tenure } from "../duties";
import { choosePace } from "../pacing";
import type { WorkerApi } from "../runs";
import type { Run, Worker } from "../schedule";

export interface PacerOptions {
    readonly api: WorkerApi;
    readonly tenure: Tenure;
    readonly clocks: Clocks;
}

export interface Pacer {
    /** Sets the CPU share of a worker's fillers from the latest values that the worker reported. */
    adjust(worker: Worker): void;
}

/**
 * Minimum time between two adjustments, in milliseconds. Measured values are averages over half a second, so an earlier
 * second adjustment would be based on values from before the first.
 */
const minAdjustIntervalMs = 600;

/** Throttles fillers so that the serving tasks on the same worker keep their latency targets. */
export function createPacer({ api, tenure, clocks }: PacerOptions): Pacer {
    const adjustedAtMs = new WeakMap<Worker, number>();

    async function send(run: Run, percent: number): Promise<void> {
        const previousPercent = run.pacePercent;
        run.pacePercent = percent;
        const result = await api.pace(run.worker, run.task.name, run.number, percent, tenure.token);
        if (result.kind !== "taken") {
            // The next adjustment retries.
            run.pacePercent = previousPercent;
        }
    }

    return {
        adjust(worker) {
            const running = [...worker.runs].filter(({ phase }) => phase === "running");
            const fillers = running.filter(({ task }) => task.step.isFiller);
            const nowMs = clocks.monotonicMs();
            if (
                fillers.length === 0 || nowMs - (adjustedAtMs.get(worker) ?? 0) < minAdjustIntervalMs
                || !tenure.isValid()
            ) {
                return;
            }
            adjustedAtMs.set(worker, nowMs);
            const serving = running
                .filter(({ task }) => task.step.targetLatencyMs > 0)
                .map(({ measure, task }) => ({ latencyMs: measure, targetMs: task.step.targetLatencyMs }));
            for (const run of fillers) {
                const percent = choosePace(run.pacePercent, serving);
                if (percent !== run.pacePercent) {
                    void send(run, percent);
                }
            }
        },
    };
}
