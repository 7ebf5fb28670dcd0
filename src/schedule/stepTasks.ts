import type { Step } from "../submissions";
import { createIndexRanges, type IndexRange, type IndexRanges } from "./createIndexRanges";
import type { SubmissionEntry, Task } from "./schedulerState";

/**
 * The tasks of a step in one occurrence. A task is an object from its first start until it is done. The others are known by
 * their index, so that memory and time depend on the tasks that run and not on those that a client declares.
 */
export interface StepTasks {
    readonly entry: SubmissionEntry;
    readonly occurrence: number;
    readonly stepNumber: number;
    readonly step: Step;
    /** When the occurrence was added, on the monotonic clock, in milliseconds. */
    readonly addedAtMs: number;
    /** Tasks that have been started and are not done, by index. */
    readonly started: Map<number, Task>;
    /** Tasks that are done and have runs that are being stopped, or that were dropped and may reappear, by index. */
    readonly ending: Map<number, Task>;
    /** Indexes of all tasks that are done. */
    readonly done: IndexRanges;
    /** No task before this index is unstarted. */
    firstUnstarted: number;
}

export function createStepTasks(
    entry: SubmissionEntry,
    occurrence: number,
    stepNumber: number,
    step: Step,
    addedAtMs: number,
): StepTasks {
    return {
        entry,
        occurrence,
        stepNumber,
        step,
        addedAtMs,
        started: new Map(),
        ending: new Map(),
        done: createIndexRanges(),
        firstUnstarted: 0,
    };
}

/** Name that identifies a task on workers: submission id, occurrence, step number and index. */
export function taskName(id: string, occurrence: number, step: number, index: number): string {
    return `${id}.${occurrence}.${step}.${index}`;
}

/** Returns a task of a step. The object of one without runs belongs to the step only once `keepTask` is called. */
export function taskAt(tasks: StepTasks, index: number): Task {
    const { entry, occurrence, stepNumber, step } = tasks;
    return tasks.started.get(index) ?? tasks.ending.get(index) ?? {
        name: taskName(entry.submission.id, occurrence, stepNumber, index),
        entry,
        occurrence,
        stepNumber,
        step,
        stepTasks: tasks,
        index,
        phase: tasks.done.has(index) ? "done" : "waiting",
        lastRun: 0,
        failedRuns: new Set(),
        droppedRuns: new Set(),
        checkpoint: "",
        runs: [],
        notBeforeMs: 0,
        failedWorkerIds: new Set(),
        waitingSinceMs: tasks.addedAtMs,
    };
}

/** Keeps the object of a task that is not done. */
export function keepTask(task: Task): void {
    if (task.phase !== "done") {
        task.stepTasks.started.set(task.index, task);
    }
}

/** Forgets the object of a task if nothing is lost with it. */
export function releaseTask(task: Task): void {
    const { stepTasks, index, runs, phase, lastRun, failedRuns, droppedRuns, checkpoint } = task;
    if (runs.length > 0 || droppedRuns.size > 0) {
        return;
    }
    if (phase === "done") {
        stepTasks.ending.delete(index);
        forgetOccurrenceIfOver(task);
    }
    else if (lastRun === 0 && failedRuns.size === 0 && checkpoint === "") {
        stepTasks.started.delete(index);
        stepTasks.firstUnstarted = Math.min(stepTasks.firstUnstarted, index);
    }
}

function forgetOccurrenceIfOver({ entry, occurrence: number }: Pick<Task, "entry" | "occurrence">): void {
    const occurrence = entry.occurrences.get(number);
    if (occurrence?.steps.every((tasks) => isStepDone(tasks) && tasks.ending.size === 0) === true) {
        entry.occurrences.delete(number);
        entry.doneOccurrences.add(number);
    }
}

/** Marks a task as done. */
export function markDone(task: Task): void {
    const { stepTasks, index } = task;
    if (task.phase === "done") {
        return;
    }
    if (task.phase === "failed") {
        // Its attempts were used up, and another run of it has ended as done since.
        task.entry.failedCount--;
    }
    setPhase(task, "done");
    stepTasks.started.delete(index);
    stepTasks.done.add(index);
    stepTasks.ending.set(index, task);
    releaseTask(task);
}

/** Marks tasks as done of which an earlier leader recorded it. */
export function restoreDone(tasks: StepTasks, [first, end]: IndexRange): void {
    tasks.done.addRange([Math.max(0, first), Math.min(tasks.step.count, end)]);
    forgetOccurrenceIfOver(tasks);
}

/** Marks a task as failed for good. Its submission fails. */
export function markFailed(task: Task): void {
    if (task.phase === "waiting") {
        setPhase(task, "failed");
        keepTask(task);
        task.entry.failedCount++;
    }
}

function setPhase(task: { -readonly [Key in keyof Task]: Task[Key]; }, phase: Task["phase"]): void {
    task.phase = phase;
}

/** Whether all tasks are done. */
export function isStepDone({ step, done }: StepTasks): boolean {
    return done.size >= step.count;
}

/** Number of tasks that have never been started. */
export function countUnstarted({ step, started, done }: StepTasks): number {
    return step.count - started.size - done.size;
}

/** Tasks that have never been started, in order. Each may be kept before the next is asked for. */
export function* listUnstarted(tasks: StepTasks): Generator<Task> {
    const { step, started, done } = tasks;
    for (let index = tasks.firstUnstarted; index < step.count; index++) {
        index = done.nextMissing(index);
        if (index < step.count && !started.has(index)) {
            tasks.firstUnstarted = index;
            yield taskAt(tasks, index);
        }
    }
}

/** Number of tasks that wait and have no run. */
export function countIdle(tasks: StepTasks, isCounted: (task: Task) => boolean = () => true): number {
    let count = 0;
    for (const task of tasks.started.values()) {
        count += task.phase === "waiting" && task.runs.length === 0 && isCounted(task) ? 1 : 0;
    }
    return count + countUnstarted(tasks);
}

/** The first task that waits, has no run and fulfills a condition. */
export function findIdle(tasks: StepTasks, isWanted: (task: Task) => boolean): Task | undefined {
    for (const task of tasks.started.values()) {
        if (task.phase === "waiting" && task.runs.length === 0 && isWanted(task)) {
            return task;
        }
    }
    const next = listUnstarted(tasks).next();
    return next.done !== true && isWanted(next.value) ? next.value : undefined;
}
