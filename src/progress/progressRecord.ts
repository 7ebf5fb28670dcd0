import { type IndexRange, startedTasksOf, type SubmissionEntry, type Task } from "../schedule";

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

/** Tasks of a step that are done: the first index, and the one after the last. */
type DoneRow = readonly [occurrence: number, step: number, first: number, end: number];

/** Progress record as stored, in JSON. */
export interface ProgressRecord {
    /** Tasks that have been started; those that are done only in a record without `done`. */
    readonly tasks: readonly TaskRow[];
    /** Tasks that are done, in open occurrences. */
    readonly done?: readonly DoneRow[];
    /** Occurrences whose tasks are all done. */
    readonly doneOccurrences?: readonly IndexRange[];
}

/**
 * Most done tasks that a record has rows for. Builds that don't know ranges read these; a record with a row for each of tens of
 * thousands would be longer than the store allows.
 */
const maxDoneRows = 2000;

const phaseLetters = { waiting: "w", done: "d", failed: "f" } as const;
const phasesByLetter = { w: "waiting", d: "done", f: "failed" } as const;

/** Encodes the progress of a submission; tasks that were never started are left out. */
export function encodeProgress(entry: SubmissionEntry): string {
    const tasks = [...startedTasksOf(entry)].filter(({ phase, lastRun }) => phase !== "done" && lastRun > 0)
        .map(encodeTask);
    const doneOccurrences = entry.doneOccurrences.list();
    const record: ProgressRecord = countDone(entry) > maxDoneRows
        ? { tasks, done: listDone(entry), doneOccurrences }
        : { tasks: [...listDoneRows(entry), ...tasks] };
    return JSON.stringify(record);
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
        task.runs.map(({ number, worker }) => [number, worker.id, worker.bornMs]),
    ];
}

function countDone({ submission: { steps }, occurrences, doneOccurrences }: SubmissionEntry): number {
    let count = doneOccurrences.size * steps.reduce((sum, step) => sum + step.count, 0);
    for (const occurrence of occurrences.values()) {
        count += occurrence.steps.reduce((sum, { done }) => sum + done.size, 0);
    }
    return count;
}

function listDone({ occurrences }: SubmissionEntry): readonly DoneRow[] {
    return [...occurrences.values()].flatMap(({ steps }) =>
        steps.flatMap(({ occurrence, stepNumber, done }) =>
            done.list().map(([first, end]): DoneRow => [occurrence, stepNumber, first, end])
        )
    );
}

/** One row for each task that is done. Done tasks are not started again, so their run numbers are not kept. */
function listDoneRows(entry: SubmissionEntry): readonly TaskRow[] {
    const whole = entry.doneOccurrences.list().flatMap((range) =>
        listIndexes(range).flatMap((occurrence) =>
            entry.submission.steps.map(({ count }, step): DoneRow => [occurrence, step, 0, count])
        )
    );
    return [...whole, ...listDone(entry)].flatMap(([occurrence, step, first, end]) =>
        listIndexes([first, end]).map((index): TaskRow => [occurrence, step, index, "d", 1, [], "", []])
    );
}

function listIndexes([first, end]: IndexRange): readonly number[] {
    return Array.from({ length: end - first }, (_, at) => first + at);
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

/** Progress of a submission, decoded from its progress record. */
export interface SubmissionProgress {
    readonly tasks: readonly TaskProgress[];
    /** Tasks that are done, beside those among `tasks`. */
    readonly done: readonly { readonly occurrence: number; readonly step: number; readonly range: IndexRange; }[];
    readonly doneOccurrences: readonly IndexRange[];
}

export const noProgress: SubmissionProgress = { tasks: [], done: [], doneOccurrences: [] };

/** Decodes a progress record; `undefined` for text that isn't one. Only this product writes under these keys. */
export function decodeProgress(text: string): SubmissionProgress | undefined {
    try {
        const { tasks, done = [], doneOccurrences = [] } = JSON.parse(text) as ProgressRecord;
        return {
            tasks: tasks.map(
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
            ),
            done: done.map(([occurrence, step, first, end]) => ({ occurrence, step, range: [first, end] })),
            doneOccurrences,
        };
    }
    catch {
        return undefined;
    }
}
