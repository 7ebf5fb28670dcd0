import { countOrderedAway, findDoubleRun, type WorkerEvent } from "../standins/scheduling";
import { isFinal, type SubmissionStory } from "./createClients";
import type { Disturbance } from "./createFaults";
import type { RouteAnswer } from "./createRouteChecks";
import { revokedKey } from "./createWorld";
import { configApplyMs, revokeMs } from "./startEntry";

export interface Evidence {
    readonly stories: readonly SubmissionStory[];
    readonly events: readonly WorkerEvent[];
    readonly revokedAtMs: number | undefined;
    readonly routeAnswers: readonly RouteAnswer[];
    readonly disturbances: readonly Disturbance[];
    /** When every fault had ended. */
    readonly calmSinceMs: number;
    readonly endedAtMs: number;
    /** Processors of a worker, in tasks of one processor each. */
    readonly tasksPerWorker: number;
}

/** An accepted submission may be unknown to other entries for this long, in milliseconds. */
const visibleMs = 3000;

/** An entry is judged by the bound on configurations once nothing has disturbed it for this long, in milliseconds. */
const contactMs = 3000;

/** A task may start for this long after its submission's cancellation was acknowledged, in milliseconds. */
const cancelMs = 3000;

/** Answers that say that a submission was not taken and never runs. */
export const refusals = new Set([401, 404, 429, 503]);

/** Every promise that was broken, as clients, workers and the platform saw it. */
export function judge(evidence: Evidence): readonly string[] {
    const starts = new Map<string, WorkerEvent[]>();
    for (const event of evidence.events) {
        if (event.kind === "started") {
            const id = idOf(event.task);
            starts.set(id, [...starts.get(id) ?? [], event]);
        }
    }
    const double = findDoubleRun(evidence.events);
    const away = countOrderedAway(evidence.events, (task) => task.startsWith("f"));
    const overfull = findOverfull(evidence);
    return [
        ...double === undefined ? [] : [`ran twice: ${double}`],
        ...away > 1 ? [`${away} tasks of a serving step were away by order, and one may be`] : [],
        ...overfull === undefined ? [] : [overfull],
        ...findLateRoutes(evidence),
        ...evidence.stories.flatMap((story) => judgeStory(story, starts.get(story.id) ?? [], evidence)),
    ];
}

function judgeStory(story: SubmissionStory, starts: readonly WorkerEvent[], evidence: Evidence): readonly string[] {
    const { id, answers, acceptedAtMs, cancelledAtMs, shown } = story;
    const broken: string[] = [];
    const note = (text: string) => broken.push(`${id}: ${text}`);
    const isRefused = answers.length > 0 && answers.every((status) => refusals.has(status));
    if (isRefused && starts.length > 0) {
        note(`started though every try was refused (${answers.join(", ")})`);
    }
    const wrong = shown.find(({ state }) => state !== "gone");
    if (isRefused && wrong !== undefined) {
        note(`shown as ${wrong.state} though every try was refused (${answers.join(", ")})`);
    }
    if (cancelledAtMs !== undefined) {
        starts.filter(({ atMs }) => atMs > cancelledAtMs + cancelMs).forEach(({ task, atMs }) =>
            note(`${task} started ${Math.round(atMs - cancelledAtMs)} ms after its cancellation`)
        );
    }
    for (const { state, atMs, askedAtMs } of shown) {
        const isAccepted = acceptedAtMs !== undefined && askedAtMs > acceptedAtMs + visibleMs;
        if (state === "gone" && isAccepted) {
            note("accepted and unknown later");
        }
        if (state === "complete" && countDone(id, evidence.events, atMs) < story.tasks) {
            note(`shown as complete with ${countDone(id, evidence.events, atMs)} of ${story.tasks} tasks done`);
        }
        if (state === "cancelled" && cancelledAtMs === undefined) {
            note("shown as cancelled, and nobody has cancelled it");
        }
    }
    const { revokedAtMs } = evidence;
    if (story.key === revokedKey && revokedAtMs !== undefined && story.sentAtMs > revokedAtMs + revokeMs) {
        if (acceptedAtMs !== undefined) {
            note("accepted with a key that had been taken away");
        }
    }
    if (acceptedAtMs !== undefined && !story.isLasting && !isFinal(story)) {
        note(`accepted and not ended ${Math.round(evidence.endedAtMs - evidence.calmSinceMs)} ms after the last fault`);
    }
    return broken;
}

/** Answers of undisturbed entries to requests for a route that has to be in force. */
export function selectJudgedRoutes(
    { routeAnswers, disturbances }: Pick<Evidence, "routeAnswers" | "disturbances">,
): readonly RouteAnswer[] {
    const isDisturbed = ({ entry, sentAtMs }: RouteAnswer) =>
        disturbances.some((disturbance) =>
            (disturbance.entry ?? entry) === entry && disturbance.fromMs <= sentAtMs
            && disturbance.untilMs >= sentAtMs - contactMs
        );
    return routeAnswers.filter((answer) =>
        answer.sentAtMs > answer.confirmedAtMs + configApplyMs && !isDisturbed(answer)
    );
}

/** Routes that an undisturbed entry refused although they should have been in force. */
function findLateRoutes(evidence: Evidence): readonly string[] {
    return selectJudgedRoutes(evidence)
        .filter(({ status }) => status === 404)
        .map(({ entry, path, sentAtMs, confirmedAtMs }) =>
            `${entry} refused ${path} ${Math.round(sentAtMs - confirmedAtMs)} ms after it was added`
        );
}

function countDone(id: string, events: readonly WorkerEvent[], untilMs: number): number {
    const done = events.filter(({ kind, task, atMs }) => kind === "done" && idOf(task) === id && atMs <= untilMs);
    return new Set(done.map(({ task }) => task)).size;
}

/** A worker that was given more than it has room for. */
function findOverfull({ events, tasksPerWorker }: Evidence): string | undefined {
    const running = new Map<string, Set<string>>();
    for (const { kind, worker, task, run, atMs } of events) {
        const here = running.get(worker) ?? new Set();
        running.set(worker, here);
        if (kind === "started") {
            here.add(`${task} ${run}`);
            const size = [...here].reduce((sum, name) => sum + (name.startsWith("f") ? 0.5 : 1), 0);
            if (size > tasksPerWorker) {
                return `${worker} was given more than its room at ${Math.round(atMs)}: ${[...here].join(", ")}`;
            }
        }
        else if (kind !== "stopOrdered") {
            here.delete(`${task} ${run}`);
        }
    }
    return undefined;
}

function idOf(task: string): string {
    return task.split(".")[0] ?? "";
}
