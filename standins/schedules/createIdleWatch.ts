import { decodeRecord, submissionKey } from "../../src/submissions";
import type { SchedulingWorld } from "../scheduling";
import { contactMs } from "./createCalm";
import { findCancel, isLasting, type Violation } from "./judgeRun";
import { calmFrom, type Schedule, type SubmissionPlan, tasksOfStep } from "./schedule";

export interface IdleWatch {
    /** To be called every few milliseconds. */
    look(): void;
    readonly violations: readonly Violation[];
    /** Every submission is as it stays. */
    isSettled(): boolean;
}

/** What can run may wait for this long once all has been well for `calmBeforeMs`, in milliseconds. */
const idleMs = 3000;

const calmBeforeMs = 4000;

/** A lasting task may be away for this much longer after its last run, in milliseconds. */
const restartMs = 6000;

/** A cancelled submission has to be gone after this long of calm, in milliseconds: to learn of it, and to stop its tasks. */
const cancelledGoneMs = contactMs + 3000 + 900;

/** A worker takes this many tasks. */
const tasksPerWorker = 4;

/** Follows, in the calm at the end, that nothing waits for long that can run and nothing runs on that was cancelled. */
export function createIdleWatch(schedule: Schedule, world: SchedulingWorld): IdleWatch {
    const calmFromMs = calmFrom(schedule);
    const { events } = world.workers;
    const done = new Set<string>();
    const running = new Map<string, number>();
    const endedAtMs = new Map<string, number>();
    const waitingSinceMs = new Map<string, number>();
    const violations: Violation[] = [];
    let seen = 0;

    function readEvents(): void {
        for (; seen < events.length; seen++) {
            const { kind, task, atMs } = events[seen]!;
            if (kind === "stopOrdered") {
                continue;
            }
            running.set(task, (running.get(task) ?? 0) + (kind === "started" ? 1 : -1));
            if (kind === "done") {
                done.add(task);
            }
            if (kind !== "started") {
                endedAtMs.set(task, atMs);
            }
        }
    }

    function isFinal({ id }: SubmissionPlan): boolean {
        return decodeRecord(world.store.get(submissionKey(id))?.text ?? "")?.kind === "final";
    }

    function runs(task: string): boolean {
        return (running.get(task) ?? 0) > 0;
    }

    function listTasks(submission: SubmissionPlan): readonly string[] {
        return submission.steps.flatMap((_, step) => tasksOfStep(submission, step));
    }

    function listDue(submission: SubmissionPlan): readonly string[] {
        return submission.steps.flatMap(({ after }, step) => {
            const isReady = after.every((earlier) => tasksOfStep(submission, earlier).every((task) => done.has(task)));
            return isReady ? tasksOfStep(submission, step).filter((task) => !done.has(task)) : [];
        });
    }

    /** Notes since when something waits; gives whether it has waited for too long. */
    function isOverdue(name: string, isWaiting: boolean, fromMs: number): boolean {
        const nowMs = performance.now();
        if (!isWaiting || nowMs < fromMs) {
            waitingSinceMs.delete(name);
            return false;
        }
        const sinceMs = waitingSinceMs.get(name) ?? nowMs;
        waitingSinceMs.set(name, sinceMs);
        return nowMs - sinceMs > idleMs;
    }

    function lookAtOpen(submission: SubmissionPlan, hasRoom: boolean): void {
        const fromMs = calmFromMs + calmBeforeMs;
        const due = listDue(submission);
        if (isLasting(submission)) {
            for (const task of due) {
                const taskFromMs = Math.max(fromMs, (endedAtMs.get(task) ?? 0) + restartMs);
                if (isOverdue(task, hasRoom && !runs(task), taskFromMs)) {
                    note({ rule: "lost", text: `${task} lasts, has not run for ${idleMs} ms and could` });
                }
            }
            return;
        }
        const isIdle = hasRoom && due.length > 0 && !listTasks(submission).some(runs);
        if (isOverdue(submission.id, isIdle, fromMs)) {
            note({ rule: "lost", text: `${submission.id} has had nothing running for ${idleMs} ms and could` });
        }
    }

    function lookAtCancelled(submission: SubmissionPlan): void {
        const task = listTasks(submission).find(runs);
        if (task !== undefined && performance.now() > calmFromMs + cancelledGoneMs) {
            note({ rule: "unasked", text: `${task} runs on, and its submission was cancelled` });
        }
    }

    function note(violation: Violation): void {
        if (!violations.some(({ text }) => text === violation.text)) {
            violations.push(violation);
        }
    }

    function isSettled(submission: SubmissionPlan): boolean {
        const tasks = listTasks(submission);
        return isFinal(submission)
            ? !tasks.some(runs)
            : isLasting(submission) && findCancel(schedule, submission.id) === undefined && tasks.every(runs);
    }

    return {
        violations,
        look() {
            readEvents();
            if (performance.now() < calmFromMs) {
                return;
            }
            const used = [...running.values()].reduce((sum, count) => sum + count, 0);
            const hasRoom = 2 * used < tasksPerWorker * schedule.workers.size;
            for (const submission of schedule.submissions) {
                if (findCancel(schedule, submission.id) !== undefined) {
                    lookAtCancelled(submission);
                }
                else if (!isFinal(submission)) {
                    lookAtOpen(submission, hasRoom);
                }
            }
        },
        isSettled: () => performance.now() > calmFromMs && schedule.submissions.every(isSettled),
    };
}
