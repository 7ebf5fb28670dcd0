import { pause } from "../clock";
import type { Members } from "../members";
import type { Peers } from "../peers";
import type { TaskEnd, TaskRequest } from "../tasks";
import { parseTicketIssuer } from "./createTickets";
import { hashKey } from "./hashKey";
import { idempotencyEnds } from "./idempotencyEnds";
import type { RunForwardedTask } from "./idempotencyGuard";
import { askAnswerSchema, cancelMessageSchema, runMessageSchema, topics } from "./messages";

export interface TicketForwarderOptions {
    readonly peers: Peers;
    readonly members: Members;
    /** How long the issuer may delay its answer to wait for the end (long poll), in milliseconds. */
    readonly longPollMs: number;
    /** How long an issuer may be unreachable before the outcome counts as unknown, in milliseconds. */
    readonly unreachableMs: number;
}

/** Time allowed for the network round trip on top of the long poll, in milliseconds. */
const roundTripMs = 2000;
const retryDelayMs = 200;

/**
 * Longest answer that is sent between entries, in characters; the rest of a link's frame is for the fields around it.
 */
const maxForwardedChars = 1024 * 1024;

/** Forwards tasks with a ticket to the ticket's issuer, and runs those that other entries forward to this one. */
export function createTicketForwarder(opts: TicketForwarderOptions) {
    const { peers, members } = opts;
    const abortControllers = new Map<string, AbortController>();
    let runForwarded: RunForwardedTask | undefined;

    /** Sends the task to the issuer until it has ended; this is safe, as the issuer joins a run of the same ticket. */
    async function forward(request: TaskRequest, hash: string, issuer: string, signal: AbortSignal): Promise<TaskEnd> {
        const onAbort = () => void peers.send(issuer, topics.cancel, { hash });
        signal.addEventListener("abort", onAbort, { once: true });
        let lastAnswerAtMs = performance.now();
        try {
            while (!members.hasEnded(issuer)) {
                const body = createMessage(request, opts.longPollMs);
                const sent = await peers.request(issuer, topics.run, body, opts.longPollMs + roundTripMs);
                const answer = askAnswerSchema.safeParse(sent.orDefault(undefined)).data;
                if (answer?.kind === "ended") {
                    return answer.end as TaskEnd;
                }
                if (answer?.kind === "running") {
                    lastAnswerAtMs = performance.now();
                }
                else if (signal.aborted || performance.now() - lastAnswerAtMs > opts.unreachableMs) {
                    return idempotencyEnds.issuerUnreachable();
                }
                else {
                    await pause(retryDelayMs);
                }
            }
        }
        finally {
            signal.removeEventListener("abort", onAbort);
        }
        return idempotencyEnds.outcomeUnknown(
            "the entry that issued the ticket has ended; a used ticket cannot be told from an unused one",
        );
    }

    async function handleRun(body: unknown): Promise<unknown> {
        const parsed = runMessageSchema.safeParse(body);
        if (
            !parsed.success || runForwarded === undefined
            || parseTicketIssuer(parsed.data.idempotencyKey) !== peers.self.boot
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
        const controller = abortControllers.get(hash) ?? new AbortController();
        abortControllers.set(hash, controller);
        const ended = runForwarded(request, controller.signal).then((end) => {
            abortControllers.delete(hash);
            return { kind: "ended" as const, end: replaceOversizedAnswer(end) };
        });
        return Promise.race([ended, pause(waitMs).then(() => ({ kind: "running" as const }))]);
    }

    peers.onRequest(topics.run, (_from, body) => handleRun(body));
    peers.onMessage(topics.cancel, (_from, body) => {
        const parsed = cancelMessageSchema.safeParse(body);
        if (parsed.success) {
            abortControllers.get(parsed.data.hash)?.abort();
        }
    });

    function createMessage(request: TaskRequest, waitMs: number) {
        const { id, team, keyId, pool, size, expectedRunMs, deadlineAtMs, urgent, idempotencyKey, payload } = request;
        const remainingMs = Math.max(0, deadlineAtMs - Date.now());
        const keyField = keyId === undefined ? {} : { keyId };
        return {
            id,
            team,
            ...keyField,
            pool,
            size,
            expectedRunMs,
            remainingMs,
            urgent,
            idempotencyKey,
            payload,
            waitMs,
        };
    }

    return {
        forward,
        setForwardedRunner(run: RunForwardedTask) {
            runForwarded = run;
        },
    };
}

/**
 * Replaces an answer that is too long to send: a message above a link's frame limit would break the link. The
 * replacement states that the task ran and was answered.
 */
export function replaceOversizedAnswer(end: TaskEnd): TaskEnd {
    return end.kind === "answered" && end.body.length > maxForwardedChars ? idempotencyEnds.answerNotRetained() : end;
}
