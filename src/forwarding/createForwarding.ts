import type { Dispatch, DispatchRequest } from "../dispatch";
import { createProblem, Outcome } from "../errors";
import type { Limits } from "../limits";
import type { Reporter } from "../logging";
import type { Peer, Peers } from "../peers";
import type { TaskEnd } from "../tasks";
import { handleForwardedTasks } from "./handleForwardedTasks";
import { forwardingTopics, runAnswerSchema, type RunMessage } from "./messages";

export interface ForwardingOptions {
    readonly dispatch: Dispatch;
    readonly limits: Limits;
    readonly peers: Peers;
    readonly report: Reporter;
    /** Called with the result of each forwarded attempt. */
    readonly onForwarded?: (result: ForwardResult["kind"]) => void;
    /** Maximum wait for the answer to a forwarded task, in milliseconds; a broken connection ends the wait earlier. */
    readonly answerTimeoutMs?: number;
}

/**
 * Result of a forwarded attempt.
 *
 * - `ended`: the other entry reported how the task ended.
 * - `notRun`: the other entry never got the task, or reported that it did not and will not run it.
 * - `lost`: the task was sent, but there is no valid answer.
 */
type ForwardResult =
    | { readonly kind: "ended"; readonly end: TaskEnd; }
    | { readonly kind: "notRun"; }
    | { readonly kind: "lost"; };

type LocalResult =
    | { readonly kind: "ended"; readonly end: TaskEnd; }
    | { readonly kind: "withdrawn"; readonly peer: Peer; };

const defaultAnswerTimeoutMs = 24 * 3600 * 1000;
const maxForwards = 3;

/**
 * Runs each task at this entry, or at an entry with free capacity for its team while this entry has none and none can
 * be moved to it.
 */
export function createForwarding(opts: ForwardingOptions): Pick<Dispatch, "run"> {
    const { dispatch, limits, peers } = opts;
    handleForwardedTasks(opts);

    /**
     * Runs the task at this entry. Withdraws it from the queue if another entry gets free capacity before the task is
     * sent to a worker.
     */
    async function runLocally(request: DispatchRequest, mayForward: boolean): Promise<LocalResult> {
        const { team, size } = request.task;
        const controller = new AbortController();
        const abort = () => controller.abort();
        let isStarted = false;
        let targetPeer: Peer | undefined;
        request.signal.addEventListener("abort", abort);
        if (request.signal.aborted) {
            abort();
        }
        const stopListening = limits.onCapacityAvailable((name) => {
            if (mayForward && name === team && !isStarted && targetPeer === undefined) {
                targetPeer = limits.findPeerWithCapacity(team, size);
                if (targetPeer !== undefined) {
                    abort();
                }
            }
        });
        const end = await dispatch.run({
            ...request,
            signal: controller.signal,
            beforeSend() {
                if (targetPeer !== undefined) {
                    return Promise.resolve(createProblem("CANCELLED", "the task is passed on to another entry"));
                }
                isStarted = true;
                return request.beforeSend();
            },
        });
        stopListening();
        request.signal.removeEventListener("abort", abort);
        const isWithdrawn = targetPeer !== undefined && !isStarted && !request.signal.aborted && isNotRun(end);
        return isWithdrawn && targetPeer !== undefined
            ? { kind: "withdrawn", peer: targetPeer }
            : { kind: "ended", end };
    }

    async function forward(request: DispatchRequest, peer: Peer): Promise<ForwardResult> {
        const problem = await request.beforeSend();
        if (problem !== undefined) {
            return { kind: "ended", end: { kind: "problem", problem } };
        }
        const { id: requestId, team } = request.task;
        opts.report({
            kind: "routed",
            requestId,
            team,
            toBoot: peer.boot,
            reason: "the team's limit has free capacity there and none here",
        });
        const cancel = () => void peers.send(peer.boot, forwardingTopics.cancel, { id: requestId });
        request.signal.addEventListener("abort", cancel);
        const timeoutMs = opts.answerTimeoutMs ?? defaultAnswerTimeoutMs;
        const answer = await peers.request(peer.boot, forwardingTopics.run, toMessage(request), timeoutMs);
        request.signal.removeEventListener("abort", cancel);
        return answer.caseOf<ForwardResult>({
            Left: ({ kind }) => ({ kind: kind === "notSent" ? "notRun" : "lost" }),
            Right: readAnswer,
        });
    }

    async function run(request: DispatchRequest): Promise<TaskEnd> {
        for (let forwards = 0;; forwards++) {
            const local = await runLocally(request, forwards < maxForwards);
            if (local.kind === "ended") {
                return local.end;
            }
            const result = await forward(request, local.peer);
            opts.onForwarded?.(result.kind);
            switch (result.kind) {
                case "ended":
                    return result.end;
                case "notRun":
                    break;
                case "lost":
                    // The other entry may have run the task, or may still run it when it resumes after a pause.
                    if (!request.task.repeatable || request.signal.aborted) {
                        return createUnknownEnd(local.peer);
                    }
            }
        }
    }

    return { run };
}

function readAnswer(body: unknown): ForwardResult {
    const { data } = runAnswerSchema.safeParse(body);
    if (data === undefined) {
        return { kind: "lost" };
    }
    // The end comes from another entry, so its codes are those of `problemCodes`.
    const end = data.kind === "ended" ? data.end as TaskEnd : undefined;
    return end === undefined || isNotRun(end) ? { kind: "notRun" } : { kind: "ended", end };
}

function toMessage({ task }: DispatchRequest): RunMessage {
    const { deadlineAtMs, idempotencyKey: _claimedHere, ...rest } = task;
    return { ...rest, remainingMs: Math.max(0, deadlineAtMs - Date.now()) };
}

function isNotRun(end: TaskEnd): boolean {
    return end.kind === "problem" && end.problem.outcome === Outcome.NotRun;
}

function createUnknownEnd(peer: Peer): TaskEnd {
    const detail = `the task was passed on to entry ${peer.instance}, which did not answer`;
    return { kind: "problem", problem: createProblem("OUTCOME_UNKNOWN", detail, { outcome: Outcome.Unknown }) };
}
