import { decodeRecord, submissionKey } from "../../src/submissions";
import { findDoubleRun, type SchedulingWorld, type WorkerEvent } from "../scheduling";
import { type Calm, createCalm } from "./createCalm";
import { type Act, endOf, findStep, type Schedule, type SubmissionPlan, tasksOfStep } from "./schedule";

/** A promise that was broken. */
export interface Violation {
    readonly rule: "twice" | "order" | "budget" | "unasked" | "lost" | "mixed" | "evacuated";
    readonly text: string;
}

/** A task may start for this long after its submission's cancelling, in milliseconds. */
const cancelMs = 3000;

/** A copy of a speculative task may start for this long after an end was acknowledged, in milliseconds. */
const copyMs = 1000;

/** A task may start in a zone for this long after its evacuation was asked for, in milliseconds. */
const evacuateMs = 1000;

/** Failed runs after which a task does not start again. */
const maxAttempts = 3;

/** What the workers did and the store holds, when everything has been well for long. */
export function judgeRun(schedule: Schedule, world: SchedulingWorld, calm: Calm): readonly Violation[] {
    const { events } = world.workers;
    const byTask = groupByTask(events);
    return [
        ...judgeDoubles(schedule, events),
        ...[...byTask].flatMap(([task, list]) => judgeTask(schedule, task, list, byTask, calm)),
        ...schedule.submissions.flatMap((submission) => judgeEnd(schedule, submission, world, byTask)),
        ...judgeEvacuations(schedule, events),
    ];
}

/** Starts in a zone that has been under evacuation for long, unless its worker may have carried them out late. */
function judgeEvacuations(schedule: Schedule, events: readonly WorkerEvent[]): readonly Violation[] {
    const evacuations = schedule.acts.filter((act) => act.kind === "evacuate");
    const others = createCalm({ ...schedule, acts: schedule.acts.filter((act) => act.kind === "workerFault") });
    return events.filter(({ kind }) => kind === "started").flatMap(({ atMs, worker, task }) => {
        const evacuation = evacuations.find((act) =>
            act.zone === schedule.zones.get(worker) && atMs > act.atMs + evacuateMs && atMs < endOf(act)
        );
        return evacuation === undefined || !others.isCalm(worker, evacuation.atMs, atMs)
            ? []
            : [{
                rule: "evacuated",
                text: `${task} started on ${worker} at ${atMs}, evacuated since ${evacuation.atMs}`,
            }];
    });
}

function groupByTask(events: readonly WorkerEvent[]): ReadonlyMap<string, readonly WorkerEvent[]> {
    const byTask = new Map<string, WorkerEvent[]>();
    for (const event of events) {
        const list = byTask.get(event.task) ?? [];
        byTask.set(event.task, list);
        list.push(event);
    }
    return byTask;
}

function judgeDoubles(schedule: Schedule, events: readonly WorkerEvent[]): readonly Violation[] {
    const plain = events.filter(({ task }) => findStep(schedule, task)?.kind !== "speculative");
    const text = findDoubleRun(plain);
    return text === undefined ? [] : [{ rule: "twice", text }];
}

function judgeTask(
    schedule: Schedule,
    task: string,
    events: readonly WorkerEvent[],
    byTask: ReadonlyMap<string, readonly WorkerEvent[]>,
    calm: Calm,
): readonly Violation[] {
    const broken: Violation[] = [];
    const step = findStep(schedule, task);
    const cancelledAtMs = findCancel(schedule, task.split(".")[0] ?? "")?.atMs ?? Number.POSITIVE_INFINITY;
    const earlier = listEarlierTasks(schedule, task);
    for (const event of events.filter(({ kind }) => kind === "started")) {
        const { atMs, worker, run } = event;
        const name = `${task} run ${run} started on ${worker} at ${atMs}`;
        const before = events.slice(0, events.indexOf(event));
        const isCalm = (ms: number) => calm.isCalm(worker, atMs - ms, atMs);
        if (earlier.some((other) => !hasDone(byTask.get(other) ?? [], atMs))) {
            broken.push({ rule: "order", text: `${name} before all earlier steps were done` });
        }
        if (atMs > cancelledAtMs + cancelMs && isCalm(cancelMs)) {
            broken.push({ rule: "unasked", text: `${name}, and its submission was cancelled at ${cancelledAtMs}` });
        }
        const failed = before.filter(({ kind, isAcked }) => kind === "failed" && isAcked);
        if (step?.kind === "plain" && failed.length >= maxAttempts) {
            broken.push({ rule: "budget", text: `${name} after ${failed.length} failed runs` });
        }
        const ackedAtMs = before.find(({ kind, isAcked }) => kind === "done" && isAcked)?.ackedAtMs;
        if (step?.kind === "speculative" && ackedAtMs !== undefined && atMs > ackedAtMs + copyMs && isCalm(copyMs)) {
            broken.push({ rule: "twice", text: `${name}, and its end was acknowledged at ${ackedAtMs}` });
        }
    }
    return broken;
}

function judgeEnd(
    schedule: Schedule,
    submission: SubmissionPlan,
    world: SchedulingWorld,
    byTask: ReadonlyMap<string, readonly WorkerEvent[]>,
): readonly Violation[] {
    const { id, steps } = submission;
    const text = world.store.get(submissionKey(id))?.text;
    const record = text === undefined ? undefined : decodeRecord(text);
    const isCancelled = findCancel(schedule, id) !== undefined;
    const state = record?.kind === "final" ? record.state : record?.kind ?? "missing";
    const tasks = steps.flatMap((_, step) => tasksOfStep(submission, step));
    switch (state) {
        case "complete": {
            const undone = tasks.find((task) => !hasDone(byTask.get(task) ?? []));
            return undone === undefined
                ? []
                : [{ rule: "mixed", text: `${id} is complete, and ${undone} is not done` }];
        }
        case "failed": {
            const isHopeless = tasks.some((task) => countEnds(byTask.get(task) ?? [], "failed") >= maxAttempts);
            return isHopeless ? [] : [{ rule: "lost", text: `${id} is shown as failed without cause` }];
        }
        case "cancelled":
            return isCancelled ? [] : [{ rule: "lost", text: `${id} is shown as cancelled, which nobody asked for` }];
        case "open":
            return isLasting(submission) && !isCancelled ? [] : [{ rule: "lost", text: `${id} has not ended` }];
        case "missing":
            return [{ rule: "lost", text: `${id} is not in the store` }];
    }
}

export function findCancel({ acts }: Schedule, id: string): Act | undefined {
    return acts.find((act) => act.kind === "cancel" && act.id === id);
}

export function isLasting({ steps }: SubmissionPlan): boolean {
    return steps.some(({ kind }) => kind === "longRunning");
}

function listEarlierTasks(schedule: Schedule, task: string): readonly string[] {
    const [id] = task.split(".");
    const submission = schedule.submissions.find((known) => known.id === id);
    const after = findStep(schedule, task)?.after ?? [];
    return submission === undefined ? [] : after.flatMap((step) => tasksOfStep(submission, step));
}

function hasDone(events: readonly WorkerEvent[], byMs = Number.POSITIVE_INFINITY): boolean {
    return events.some(({ kind, atMs }) => kind === "done" && atMs <= byMs);
}

function countEnds(events: readonly WorkerEvent[], how: WorkerEvent["kind"]): number {
    return events.filter(({ kind }) => kind === how).length;
}
