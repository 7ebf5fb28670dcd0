import type { Run, SubmissionEntry } from "./schedulerState";

/** When the tasks of a submission were started, as far as this tenure knows. */
export interface StartHistory {
    /** Time of the first start on the monotonic clock, in milliseconds; `undefined`: none, or before this tenure. */
    firstAtMs: number | undefined;
    /** Time of the latest start on the monotonic clock, in milliseconds. */
    lastAtMs: number | undefined;
    /** Starts of tasks whose earlier run ended without being done; speculative runs don't count. */
    restarts: number;
}

export function createStartHistory(): StartHistory {
    return { firstAtMs: undefined, lastAtMs: undefined, restarts: 0 };
}

/** Records that the start request of a run is sent. */
export function recordStart({ starts, hasStarted }: SubmissionEntry, { task, number }: Run, nowMs: number): void {
    if (!hasStarted) {
        starts.firstAtMs = nowMs;
    }
    starts.lastAtMs = nowMs;
    starts.restarts += number > 1 && task.runs.length === 1 ? 1 : 0;
}
