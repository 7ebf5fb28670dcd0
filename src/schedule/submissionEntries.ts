import type { Submission } from "../submissions";
import type { Occurrence, SchedulerState, SubmissionEntry, Task } from "./schedulerState";

/** Name that identifies a task on workers: submission id, occurrence, step number and index. */
export function taskName(id: string, occurrence: number, step: number, index: number): string {
    return `${id}.${occurrence}.${step}.${index}`;
}

/** Adds a submission from the store to the scheduler state. */
export function addSubmission(
    state: SchedulerState,
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
        maxAttempts: submission.terms?.maxAttempts,
        isExcess: false,
        hasStarted: false,
        occurrences: [],
        finalState: undefined,
        seenAtMs: nowMs,
        placementTriedAtMs: nowMs,
        zone: undefined,
        remainingEstimate: undefined,
    };
    state.submissions.set(submission.id, entry);
    return entry;
}

/** Number of occurrences of a submission. */
export function occurrenceCount({ schedule }: Submission): number {
    return Math.max(1, schedule.repeats);
}

/** Earliest start of an occurrence, in milliseconds since 1970; 0: at once. */
export function dueAtMs({ schedule }: Submission, occurrence: number): number {
    return schedule.repeats > 0 ? schedule.startAtMs + occurrence * schedule.intervalMs : 0;
}

/** Creates the next occurrence with its tasks. */
export function addOccurrence(entry: SubmissionEntry, nowMs: number): Occurrence {
    const { submission, occurrences } = entry;
    const number = occurrences.length;
    const tasks = submission.steps.map((step, stepNumber) =>
        Array.from({ length: step.count }, (_, index): Task => ({
            name: taskName(submission.id, number, stepNumber, index),
            entry,
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
            failedWorkerIds: new Set(),
            waitingSinceMs: nowMs,
        }))
    );
    const occurrence = { number, tasks, dueAtMs: dueAtMs(submission, number) };
    occurrences.push(occurrence);
    return occurrence;
}

/** Creates every occurrence that is due. */
export function addDueOccurrences(entry: SubmissionEntry, timeOfDayMs: number, nowMs: number): void {
    const { submission, occurrences } = entry;
    while (
        occurrences.length < occurrenceCount(submission)
        && dueAtMs(submission, occurrences.length) <= timeOfDayMs
    ) {
        addOccurrence(entry, nowMs);
    }
}

/** Finds a task by its name; `undefined`: there is no such task. */
export function findTask(state: SchedulerState, name: string): Task | undefined {
    const [id = "", occurrence, step, index] = name.split(".");
    const tasks = state.submissions.get(id)?.occurrences[Number(occurrence)]?.tasks;
    return tasks?.[Number(step)]?.[Number(index)];
}

/** Tasks of all occurrences that have been created. */
export function* tasksOf(entry: SubmissionEntry): Generator<Task> {
    for (const { tasks } of entry.occurrences) {
        for (const step of tasks) {
            yield* step;
        }
    }
}

/** Whether all tasks of the steps that a step depends on are done. */
export function isStepReady({ tasks }: Occurrence, stepNumber: number): boolean {
    const after = tasks[stepNumber]?.[0]?.step.after ?? [];
    return after.every((earlier) => tasks[earlier]?.every(({ phase }) => phase === "done") ?? true);
}

/** Whether all occurrences have been created and all their tasks are done. */
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
