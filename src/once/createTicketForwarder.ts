import { pause } from "../clock";
import type { Members } from "../members";
import type { Peers } from "../peers";
import type { TaskEnd, TaskRequest } from "../tasks";
import { readTicketBoot } from "./createTickets";
import { hashKey } from "./hashKey";
import { askAnswerSchema, cancelMessageSchema, runMessageSchema, topics } from "./messages";
import type { RunHere } from "./once";
import { onceEnds } from "./onceEnds";

export interface TicketForwarderOptions {
    readonly peers: Peers;
    readonly members: Members;
    /** How long a request waits at the home for the end, in milliseconds. */
    readonly askWaitMs: number;
    /** How long a home may stay out of reach before the outcome counts as unknown, in milliseconds. */
    readonly unreachableMs: number;
}

/** Room for the request's way, in milliseconds. */
const wayMs = 2000;
const retryPauseMs = 200;

/** Largest answer that is passed between entries; the rest of a link's frame is for what goes with it. */
const maxForwardedChars = 1024 * 1024;

/** Passes ticketed tasks to the entry that issued the ticket, and runs those that others pass to this one. */
export function createTicketForwarder(opts: TicketForwarderOptions) {
    const { peers, members } = opts;
    const cancels = new Map<string, AbortController>();
    let runHere: RunHere | undefined;

    /** Sends the task to its home again and again: the home joins a run of the same ticket, so that is safe. */
    async function forward(request: TaskRequest, hash: string, home: string, signal: AbortSignal): Promise<TaskEnd> {
        const onAbort = () => void peers.send(home, topics.cancel, { hash });
        signal.addEventListener("abort", onAbort, { once: true });
        let heardAtMs = performance.now();
        try {
            while (!members.hasEnded(home)) {
                const body = createMessage(request, opts.askWaitMs);
                const sent = await peers.request(home, topics.run, body, opts.askWaitMs + wayMs);
                const answer = askAnswerSchema.safeParse(sent.orDefault(undefined)).data;
                if (answer?.kind === "ended") {
                    return answer.end as TaskEnd;
                }
                if (answer?.kind === "running") {
                    heardAtMs = performance.now();
                }
                else if (signal.aborted || performance.now() - heardAtMs > opts.unreachableMs) {
                    return onceEnds.homeUnreachable();
                }
                else {
                    await pause(retryPauseMs);
                }
            }
        }
        finally {
            signal.removeEventListener("abort", onAbort);
        }
        return onceEnds.holderLost(
            "the entry that issued the ticket has ended; a used ticket cannot be told from an unused one",
        );
    }

    async function serve(body: unknown): Promise<unknown> {
        const parsed = runMessageSchema.safeParse(body);
        if (
            !parsed.success || runHere === undefined || readTicketBoot(parsed.data.idempotencyKey) !== peers.self.boot
        ) {
            return { kind: "unseen" };
        }
        const { remainingMs, waitMs, keyId, ...rest } = parsed.data;
        const hash = hashKey(rest.team, rest.idempotencyKey);
        const request: TaskRequest = {
            ...rest,
            ...keyId === undefined ? {} : { keyId },
            repeatable: false,
            deadlineAtMs: Date.now() + remainingMs,
        };
        const controller = cancels.get(hash) ?? new AbortController();
        cancels.set(hash, controller);
        const ended = runHere(request, controller.signal).then((end) => {
            cancels.delete(hash);
            return { kind: "ended" as const, end: shrinkEnd(end) };
        });
        return Promise.race([ended, pause(waitMs).then(() => ({ kind: "running" as const }))]);
    }

    peers.onRequest(topics.run, (_from, body) => serve(body));
    peers.onMessage(topics.cancel, (_from, body) => {
        const parsed = cancelMessageSchema.safeParse(body);
        if (parsed.success) {
            cancels.get(parsed.data.hash)?.abort();
        }
    });

    function createMessage(request: TaskRequest, waitMs: number) {
        const { id, team, keyId, pool, size, expectedRunMs, deadlineAtMs, urgent, idempotencyKey, payload } = request;
        const remainingMs = Math.max(0, deadlineAtMs - Date.now());
        const known = keyId === undefined ? {} : { keyId };
        return { id, team, ...known, pool, size, expectedRunMs, remainingMs, urgent, idempotencyKey, payload, waitMs };
    }

    return {
        forward,
        onForwarded(run: RunHere) {
            runHere = run;
        },
    };
}

/** An answer above a link's frame would break the link; its caller is told truly that there was one. */
export function shrinkEnd(end: TaskEnd): TaskEnd {
    return end.kind === "answered" && end.body.length > maxForwardedChars ? onceEnds.answerNotKept() : end;
}
