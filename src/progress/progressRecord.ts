import type { SubmissionEntry, Task } from "../schedule";

/** Prefix of the store keys under which the leader keeps the progress of submissions that have not ended. */
export const progressPrefix = "samphirepin/run/";

/** Store key of a submission's progress record. */
export function progressKey(id: string): string {
    return progressPrefix + id;
}

/** A run that may be running: its number, its worker's id and when the worker's incarnation started. */
type RunRow = readonly [number: number, worker: string, bornMs: number];

/**
 * A task that has been started at least once. A tuple keeps the records small: hundreds of tasks are written each
 * second.
 */
type TaskRow = readonly [
    occurrence: number,
    step: number,
    index: number,
    phase: "w" | "d" | "f",
    lastRun: number,
    failedRuns: readonly number[],
    checkpoint: string,
    runs: readonly RunRow[],
];

/** Progress record as stored, in JSON. */
export interface ProgressRecord {
    readonly tasks: readonly TaskRow[];
}

const phaseLetters = { waiting: "w", done: "d", failed: "f" } as const;
const phasesByLetter = { w: "waiting", d: "done", f: "failed" } as const;

/** Encodes the progress of a submission; tasks that were never started are left out. */
export function encodeProgress(entry: SubmissionEntry): string {
    const tasks = entry.occurrences.flatMap((occurrence) =>
        occurrence.tasks.flatMap((step) => step.filter(({ lastRun }) => lastRun > 0).map(encodeTask))
    );
    return JSON.stringify({ tasks } satisfies ProgressRecord);
}

function encodeTask(task: Task): TaskRow {
    return [
        task.occurrence,
        task.stepNumber,
        task.index,
        phaseLetters[task.phase],
        task.lastRun,
        [...task.failedRuns],
        task.checkpoint,
        task.phase === "waiting" ? task.runs.map(({ number, worker }) => [number, worker.id, worker.bornMs]) : [],
    ];
}

/** Progress of one task, decoded from a progress record. */
export interface TaskProgress {
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
    readonly phase: Task["phase"];
    readonly lastRun: number;
    readonly failedRuns: readonly number[];
    readonly checkpoint: string;
    readonly runs: readonly { readonly number: number; readonly workerId: string; readonly bornMs: number; }[];
}

/** Decodes a progress record; `undefined` for text that isn't one. Only this product writes under these keys. */
export function decodeProgress(text: string): readonly TaskProgress[] | undefined {
    try {
        return (JSON.parse(text) as ProgressRecord).tasks.map(
            ([occurrence, step, index, phase, lastRun, failedRuns, checkpoint, runs]) => ({
                occurrence,
                step,
                index,
                phase: phasesByLetter[phase],
                lastRun,
                failedRuns,
                checkpoint,
                runs: runs.map(([number, workerId, bornMs]) => ({ number, workerId, bornMs })),
            }),
        );
    }
    catch {
        return undefined;
    }
}
