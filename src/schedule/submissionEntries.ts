import type { Submission } from "../submissions";
import { createIndexRanges } from "./createIndexRanges";
import { createStartHistory } from "./recordStart";
import type { Occurrence, SchedulerState, SubmissionEntry, Task } from "./schedulerState";
import { countUnstarted, createStepTasks, isStepDone, type StepTasks, taskAt } from "./stepTasks";

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
        starts: createStartHistory(),
        demotedUntilMs: 0,
        sizeClass: undefined,
        isPromoted: false,
        countsAsServed: false,
        occurrences: new Map(),
        doneOccurrences: createIndexRanges(),
        addedOccurrences: 0,
        progressBytes: 0,
        failedCount: 0,
        finalState: undefined,
        seenAtMs: nowMs,
        placementTriedAtMs: nowMs,
        nextPlacedStep: 0,
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

/**
 * Most steps of a submission's occurrences that wait for the first start of a task. Occurrences that are due beyond them are
 * added as these are started.
 */
const maxUnstartedSteps = 200;

/** Most steps of a submission's open occurrences. */
const maxOpenSteps = 4000;

/** Adds an occurrence, the next one unless a number is given. */
export function addOccurrence(entry: SubmissionEntry, nowMs: number, number = entry.addedOccurrences): Occurrence {
    const { submission } = entry;
    entry.addedOccurrences = Math.max(entry.addedOccurrences, number + 1);
    const steps = submission.steps.map((step, stepNumber) => createStepTasks(entry, number, stepNumber, step, nowMs));
    const occurrence = { number, steps, dueAtMs: dueAtMs(submission, number) };
    entry.occurrences.set(number, occurrence);
    return occurrence;
}

/** Adds the occurrences that are due, as far as the bounds on open ones allow. */
export function addDueOccurrences(entry: SubmissionEntry, timeOfDayMs: number, nowMs: number): void {
    const { submission, occurrences } = entry;
    const isNextDue = () =>
        entry.finalState === undefined && entry.addedOccurrences < occurrenceCount(submission)
        && dueAtMs(submission, entry.addedOccurrences) <= timeOfDayMs;
    if (!isNextDue()) {
        return;
    }
    // The others are kept only because dropped runs of theirs may reappear.
    const open = [...occurrences.values()].filter(({ steps }) => !steps.every(isStepDone));
    let openCount = open.length;
    let unstartedCount = open.filter(hasUnstartedFirstStep).length;
    const maxUnstarted = Math.max(1, maxUnstartedSteps / submission.steps.length);
    const maxOpen = Math.max(1, maxOpenSteps / submission.steps.length);
    while (isNextDue() && unstartedCount < maxUnstarted && openCount < maxOpen) {
        addOccurrence(entry, nowMs);
        openCount++;
        unstartedCount++;
    }
}

/** Whether tasks of a step that waits for no other have not been started. Later steps don't delay other occurrences. */
function hasUnstartedFirstStep({ steps }: Occurrence): boolean {
    return steps.some((tasks) => tasks.step.after.length === 0 && countUnstarted(tasks) > 0);
}

/** Finds a task by its name; `undefined`: there is no such task. */
export function findTask(state: SchedulerState, name: string): Task | undefined {
    const [id = "", occurrence, step, index] = name.split(".");
    const entry = state.submissions.get(id);
    const tasks = entry === undefined ? undefined : findStepTasks(entry, Number(occurrence), Number(step));
    return tasks !== undefined && isIndexOf(tasks, Number(index)) ? taskAt(tasks, Number(index)) : undefined;
}

function findStepTasks(entry: SubmissionEntry, occurrence: number, stepNumber: number): StepTasks | undefined {
    const step = entry.submission.steps[stepNumber];
    if (step === undefined || !entry.doneOccurrences.has(occurrence)) {
        return entry.occurrences.get(occurrence)?.steps[stepNumber];
    }
    const tasks = createStepTasks(entry, occurrence, stepNumber, step, entry.seenAtMs);
    tasks.done.addRange([0, step.count]);
    return tasks;
}

function isIndexOf({ step }: StepTasks, index: number): boolean {
    return Number.isInteger(index) && index >= 0 && index < step.count;
}

/** Tasks that have been started and are not done, and those that are done while runs of theirs are being stopped. */
export function* startedTasksOf(entry: SubmissionEntry): Generator<Task> {
    for (const { steps } of entry.occurrences.values()) {
        for (const { started, ending } of steps) {
            yield* started.values();
            yield* ending.values();
        }
    }
}

/** Whether all tasks of the steps that a step depends on are done. */
export function isStepReady({ steps }: Occurrence, { step }: StepTasks): boolean {
    return step.after.every((number) => {
        const earlier = steps[number];
        return earlier === undefined || isStepDone(earlier);
    });
}

/** Whether all occurrences have been added and all their tasks are done. */
export function isComplete(entry: SubmissionEntry): boolean {
    return entry.addedOccurrences >= occurrenceCount(entry.submission)
        && [...entry.occurrences.values()].every(({ steps }) => steps.every(isStepDone));
}
