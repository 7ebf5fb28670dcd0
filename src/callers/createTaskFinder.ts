import { z } from "zod";
import { createProblem, Outcome, type Problem } from "../errors";
import type { Members } from "../members";
import type { Peers } from "../peers";
import type { TaskEnd } from "../tasks";
import type { KeptTask, TaskTable } from "./createTaskTable";

/** What a caller asks about a task that was accepted for later asking. */
export interface TaskQuestion {
    readonly id: string;
    readonly team: string;
    readonly action: "show" | "cancel";
    /** How long to wait for the end, in milliseconds. */
    readonly waitMs: number;
}

/** What is known of the task. */
export type TaskStatus =
    | { readonly kind: "running"; }
    | { readonly kind: "ended"; readonly end: TaskEnd; }
    | { readonly kind: "unseen"; };

export interface TaskFinderOptions {
    readonly peers: Peers;
    readonly members: Members;
    readonly table: TaskTable;
}

const topic = "callers.task";
/** Room for the question's way to another entry and back, in milliseconds. */
const wayMs = 2000;

export const maxWaitMs = 30_000;
/** Largest answer that is passed between entries. */
const maxForwardedChars = 1024 * 1024;

const questionSchema = z.object({
    id: z.string().max(256),
    team: z.string().max(256),
    action: z.enum(["show", "cancel"]),
    waitMs: z.number().nonnegative().max(maxWaitMs),
});
const problemSchema = z.looseObject({
    code: z.string(),
    status: z.number().int(),
    title: z.string(),
    detail: z.string(),
    hint: z.string(),
    outcome: z.enum(["answered", "not run", "unknown"]),
});
const statusSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("running") }),
    z.object({
        kind: z.literal("ended"),
        end: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("answered"), body: z.string(), instance: z.string() }),
            z.object({ kind: z.literal("problem"), problem: problemSchema }),
        ]),
    }),
    z.object({ kind: z.literal("unseen") }),
]);

/** Finds a task by its id, which names the boot that took it, and asks that entry where it is another. */
export function createTaskFinder(opts: TaskFinderOptions) {
    const { peers, members, table } = opts;

    peers.onRequest(topic, async (_from, body) => {
        const parsed = questionSchema.safeParse(body);
        return parsed.success ? shrink(await findHere(parsed.data)) : { kind: "unseen" };
    });

    async function findHere(question: TaskQuestion): Promise<TaskStatus> {
        const task = table.find(question.id);
        // Another team's task is answered as one that was never there, so that ids tell nothing.
        if (task === undefined || task.team !== question.team) {
            return { kind: "unseen" };
        }
        if (question.action === "cancel") {
            task.controller.abort();
        }
        const end = task.end ?? await waitFor(task, question.waitMs);
        return end === undefined ? { kind: "running" } : { kind: "ended", end };
    }

    async function findAt(boot: string, question: TaskQuestion): Promise<TaskStatus | Problem> {
        if (members.hasEnded(boot)) {
            return lost("the entry that took the task has ended, and its results with it");
        }
        const answer = await peers.request(boot, topic, question, question.waitMs + wayMs);
        const status = statusSchema.safeParse(answer.orDefault(undefined)).data as TaskStatus | undefined;
        return status ?? lost("the entry that took the task cannot be reached now", 1);
    }

    return function findTask(question: TaskQuestion): Promise<TaskStatus | Problem> {
        const boot = question.id.split(".", 1)[0] ?? "";
        return boot === peers.self.boot ? findHere(question) : findAt(boot, question);
    };
}

function lost(detail: string, retryAfterSeconds?: number): Problem {
    return createProblem("OUTCOME_UNKNOWN", detail, {
        outcome: Outcome.Unknown,
        ...retryAfterSeconds === undefined ? {} : { retryAfterSeconds },
    });
}

async function waitFor(task: KeptTask, waitMs: number): Promise<TaskEnd | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const waited = new Promise<undefined>((resolve) => {
        timer = setTimeout(() => resolve(undefined), waitMs);
    });
    const end = await Promise.race([task.ended, waited]);
    clearTimeout(timer);
    return end;
}

/** An answer above a link's frame would break the link. */
function shrink(status: TaskStatus): TaskStatus {
    if (status.kind !== "ended" || status.end.kind !== "answered" || status.end.body.length <= maxForwardedChars) {
        return status;
    }
    const problem = createProblem("ANSWER_TOO_LARGE", "the answer is too large to be passed between entries", {
        outcome: Outcome.Answered,
    });
    return { kind: "ended", end: { kind: "problem", problem } };
}
