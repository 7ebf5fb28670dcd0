import type { Clocks } from "../clock";
import type { Reporter } from "../logging";
import { countIdle, type SchedulerState } from "../schedule";

export interface FirstStartReportOptions {
    readonly state: SchedulerState;
    readonly clocks: Clocks;
    readonly report: Reporter;
    readonly token: number;
}

/** Reports how long a tenure took to send its first start request. */
export interface FirstStartReport {
    /** Counts the submissions that wait, once all have been read. */
    recordLoaded(): void;
    /** A start request is about to be sent. Only the first call has an effect. */
    recordStart(): void;
}

/** Measures from its creation, which has to be the beginning of the tenure. */
export function createFirstStartReport({ state, clocks, report, token }: FirstStartReportOptions): FirstStartReport {
    const gainedAtMs = clocks.monotonicMs();
    let waitingSubmissions = 0;
    let isReported = false;

    return {
        recordLoaded() {
            const hasWaitingTask = [...state.submissions.values()].filter((entry) =>
                entry.finalState === undefined
                && [...entry.occurrences.values()].some(({ steps }) => steps.some((tasks) => countIdle(tasks) > 0))
            );
            waitingSubmissions = hasWaitingTask.length;
        },
        recordStart() {
            if (!isReported) {
                isReported = true;
                const sinceGainedMs = clocks.monotonicMs() - gainedAtMs;
                report({ kind: "firstStart", token, waitingSubmissions, sinceGainedMs });
            }
        },
    };
}
