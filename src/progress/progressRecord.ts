import type { SubmissionEntry, Task } from "../schedule";

/** Where the owner keeps what has happened to the tasks of submissions that have not ended. */
export const progressPrefix = "samphirepin/run/";

export function progressKey(id: string): string {
    return progressPrefix + id;
}

/** A start that may be running: its number, the worker and the start of that worker's life. */
type RunRow = readonly [number: number, worker: string, bornMs: number];

/** One task that is not as it was handed in; a tuple, since hundreds are written each second. */
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

export interface ProgressRecord {
    readonly tasks: readonly TaskRow[];
}

const phaseLetters = { waiting: "w", done: "d", failed: "f" } as const;
const phaseNames = { w: "waiting", d: "done", f: "failed" } as const;

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

/** What the record says of one task. */
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

/** Gives `undefined` for text that is no record; nothing but this product writes there. */
export function decodeProgress(text: string): readonly TaskProgress[] | undefined {
    try {
        return (JSON.parse(text) as ProgressRecord).tasks.map(
            ([occurrence, step, index, phase, lastRun, failedRuns, checkpoint, runs]) => ({
                occurrence,
                step,
                index,
                phase: phaseNames[phase],
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
