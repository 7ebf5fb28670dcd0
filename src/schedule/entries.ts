import type { Submission } from "../submissions";
import type { Board, Occurrence, SubmissionEntry, Task } from "./board";

/** Name of a task on the workers. */
export function taskName(id: string, occurrence: number, step: number, index: number): string {
    return `${id}.${occurrence}.${step}.${index}`;
}

/** Puts a stored submission on the board. */
export function addSubmission(
    board: Board,
    submission: Submission,
    revision: number,
    isCancelled: boolean,
    nowMs: number,
): SubmissionEntry {
    const entry: SubmissionEntry = {
        submission,
        revision,
        progressRevision: 0,
        isCancelled,
        hasBegun: false,
        occurrences: [],
        ending: undefined,
        seenAtMs: nowMs,
        zone: undefined,
        outlook: undefined,
    };
    board.submissions.set(submission.id, entry);
    return entry;
}

/** Number of times that the steps run. */
export function occurrenceCount({ schedule }: Submission): number {
    return Math.max(1, schedule.repeats);
}

/** When an occurrence may begin, in milliseconds since 1970. */
export function dueAtMs({ schedule }: Submission, occurrence: number): number {
    return schedule.repeats > 0 ? schedule.startAtMs + occurrence * schedule.intervalMs : 0;
}

/** Adds the tasks of the next occurrence. */
export function addOccurrence(entry: SubmissionEntry, nowMs: number): Occurrence {
    const { submission, occurrences } = entry;
    const number = occurrences.length;
    const tasks = submission.steps.map((step, stepNumber) =>
        Array.from({ length: step.count }, (_, index): Task => ({
            name: taskName(submission.id, number, stepNumber, index),
            owner: entry,
            occurrence: number,
            stepNumber,
            step,
            index,
            phase: "waiting",
            lastRun: 0,
            failedRuns: new Set(),
            droppedRuns: new Set(),
            checkpoint: "",
            runs: [],
            notBeforeMs: 0,
            failedOn: new Set(),
            waitingSinceMs: nowMs,
        }))
    );
    const occurrence = { number, tasks, dueAtMs: dueAtMs(submission, number) };
    occurrences.push(occurrence);
    return occurrence;
}

/** Adds each occurrence whose time has come. */
export function addDueOccurrences(entry: SubmissionEntry, timeOfDayMs: number, nowMs: number): void {
    const { submission, occurrences } = entry;
    while (
        occurrences.length < occurrenceCount(submission)
        && dueAtMs(submission, occurrences.length) <= timeOfDayMs
    ) {
        addOccurrence(entry, nowMs);
    }
}

export function findTask(board: Board, name: string): Task | undefined {
    const [id = "", occurrence, step, index] = name.split(".");
    const tasks = board.submissions.get(id)?.occurrences[Number(occurrence)]?.tasks;
    return tasks?.[Number(step)]?.[Number(index)];
}

export function* tasksOf(entry: SubmissionEntry): Generator<Task> {
    for (const { tasks } of entry.occurrences) {
        for (const step of tasks) {
            yield* step;
        }
    }
}

/** Whether all tasks of the steps that a step waits for are done. */
export function isStepReady({ tasks }: Occurrence, stepNumber: number): boolean {
    const after = tasks[stepNumber]?.[0]?.step.after ?? [];
    return after.every((earlier) => tasks[earlier]?.every(({ phase }) => phase === "done") ?? true);
}

/** Whether the submission has nothing left to run. */
export function isComplete(entry: SubmissionEntry): boolean {
    if (entry.occurrences.length < occurrenceCount(entry.submission)) {
        return false;
    }
    for (const task of tasksOf(entry)) {
        if (task.phase !== "done") {
            return false;
        }
    }
    return true;
}
