import { Outcome, type ProblemCode } from "../errors";
import type { Reporter } from "../logging";
import type { Shares } from "../shares";
import type { TaskEnd } from "../tasks";
import { createDeadlines } from "./createDeadlines";
import { createEnd, createWaitingEnd } from "./createEnds";
import type { TaskQueues, TeamQueue } from "./createTaskQueues";
import type { DispatchRequest } from "./dispatch";
import { findRefusal, type FindRefusalOptions } from "./findRefusal";
import { retryAfterSeconds } from "./queueEstimates";
import type { WaitingTask } from "./waitingTask";

export interface WaitingRoomOptions extends FindRefusalOptions {
    readonly queues: TaskQueues;
    readonly shares: Shares;
    readonly report: Reporter;
    /** Called with the pool in which a task has begun to wait. */
    readonly onArrival: (pool: string) => void;
    /** Called where a task that no longer waits is cancelled. */
    readonly onCancelRunning: (waiting: WaitingTask) => void;
}

/** Tasks that wait, from their arrival until their turn or their end. */
export interface WaitingRoom {
    /** Takes a task or refuses it; resolves with its end. */
    admit(request: DispatchRequest): Promise<TaskEnd>;
    /** Puts a task back in front that had its turn and could not run. */
    putBack(waiting: WaitingTask): void;
    /** Takes a task out; false where it was not waiting. */
    take(waiting: WaitingTask): boolean;
    /** Ends a task that no longer waits with what is known of it. */
    refuse(waiting: WaitingTask, code: ProblemCode, detail: string, comeBack?: number): void;
    /** Tells the shares what waits in the queue now. */
    tell(queue: TeamQueue): void;
    stop(): void;
}

/** Longest that a task waits, whatever its deadline, in milliseconds. */
export const maxWaitingMs = 10 * 60 * 1000;

export function createWaitingRoom(opts: WaitingRoomOptions): WaitingRoom {
    const { queues, shares } = opts;
    const deadlines = createDeadlines<WaitingTask>(expire);

    function admit(request: DispatchRequest): Promise<TaskEnd> {
        const { task, signal } = request;
        const refused = findRefusal(request, opts);
        if (refused !== undefined) {
            const { code, detail, comeBack } = refused;
            reportRefused(request, code, detail);
            return Promise.resolve(createEnd(code, detail, Outcome.NotRun, comeBack));
        }
        return new Promise((resolve) => {
            const nowMs = Date.now();
            const onAbort = () => cancel(waiting);
            const waiting: WaitingTask = {
                ...request,
                arrivedAtMs: nowMs,
                expiresAtMs: Math.min(task.deadlineAtMs, nowMs + maxWaitingMs),
                tried: new Set(),
                turns: 0,
                startedTries: 0,
                isClaimed: false,
                isEnded: false,
                lacksRoom: false,
                end(end) {
                    if (!waiting.isEnded) {
                        waiting.isEnded = true;
                        signal.removeEventListener("abort", onAbort);
                        resolve(end);
                    }
                },
            };
            signal.addEventListener("abort", onAbort);
            enqueue(waiting, false);
        });
    }

    function enqueue(waiting: WaitingTask, inFront: boolean): void {
        const queue = inFront ? queues.addInFront(waiting) : queues.add(waiting);
        deadlines.add(waiting, waiting.expiresAtMs);
        tell(queue);
        opts.onArrival(waiting.task.pool);
    }

    /** Takes a task out of its queue; false where it was not waiting. */
    function take(waiting: WaitingTask): boolean {
        const queue = queues.remove(waiting);
        if (queue === undefined) {
            return false;
        }
        deadlines.remove(waiting, waiting.expiresAtMs);
        tell(queue);
        return true;
    }

    function tell(queue: TeamQueue): void {
        shares.setWaiting(queue.pool, queue.team, queue.waitingWork());
    }

    function refuse(waiting: WaitingTask, code: ProblemCode, detail: string, comeBack?: number): void {
        reportRefused(waiting, code, detail);
        waiting.end(waiting.lastEnd ?? createWaitingEnd(waiting, code, detail, comeBack));
    }

    function expire(waiting: WaitingTask): void {
        const queue = queues.find(waiting.task.pool, waiting.task.team);
        if (!take(waiting)) {
            return;
        }
        const comeBack = retryAfterSeconds(queue);
        if (waiting.lacksRoom) {
            refuse(waiting, "LIMIT_REACHED", "the team's upper limit left no room in time", comeBack);
        }
        else {
            refuse(waiting, "DEADLINE_PASSED", "no worker was free in time", comeBack);
        }
    }

    function cancel(waiting: WaitingTask): void {
        if (take(waiting)) {
            refuse(waiting, "CANCELLED", "cancelled while it waited");
            return;
        }
        opts.onCancelRunning(waiting);
    }

    function reportRefused({ task }: DispatchRequest, code: string, reason: string): void {
        const { id: requestId, team, pool } = task;
        const candidates = opts.pools.find(pool)?.servingCount ?? 0;
        opts.report({ kind: "refused", requestId, team, pool, code, reason, candidates });
    }

    return {
        admit,
        putBack: (waiting) => enqueue(waiting, true),
        take,
        refuse,
        tell,
        stop: () => deadlines.stop(),
    };
}
