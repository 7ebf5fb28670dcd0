import { Outcome, type ProblemCode } from "../errors";
import type { Reporter } from "../logging";
import type { Shares } from "../shares";
import type { TaskEnd } from "../tasks";
import { checkAdmission, type CheckAdmissionOptions } from "./checkAdmission";
import type { TaskQueues, TeamQueue } from "./createTaskQueues";
import { createTimerWheel } from "./createTimerWheel";
import { createProblemEnd, createWaitingTaskEnd } from "./decideNextStep";
import type { DispatchRequest } from "./dispatch";
import { estimateRetryAfterSeconds } from "./queueEstimates";
import type { WaitingTask } from "./waitingTask";

export interface AdmissionQueueOptions extends CheckAdmissionOptions {
    readonly queues: TaskQueues;
    readonly shares: Shares;
    readonly report: Reporter;
    /** Called with the pool for which a task was queued. */
    readonly onQueued: (pool: string) => void;
    /** Called if a task is canceled that no longer waits. */
    readonly onCancelRunning: (waiting: WaitingTask) => void;
}

/** Tasks that wait, from their arrival until they are taken out to start or end. */
export interface AdmissionQueue {
    /** Queues a task or refuses it; resolves with its end. */
    admit(request: DispatchRequest): Promise<TaskEnd>;
    /** Requeues a task at the front that was selected but could not run or has to run again. */
    requeue(waiting: WaitingTask): void;
    /** Removes a task from its queue; returns false if it was not waiting. */
    take(waiting: WaitingTask): boolean;
    /**
     * Ends a task that was taken out: with the end of its latest attempt if there is one, otherwise with the given
     * problem.
     */
    refuse(waiting: WaitingTask, code: ProblemCode, detail: string, retryAfterS?: number): void;
    /** Updates the shares with the queue's waiting work. */
    publishWaiting(queue: TeamQueue): void;
    stop(): void;
}

/** Maximum waiting time of a task, whatever its deadline, in milliseconds. */
export const maxWaitingMs = 10 * 60 * 1000;

/** Admits or refuses arriving tasks, and ends waiting ones when they are canceled or their deadline passes. */
export function createAdmissionQueue(opts: AdmissionQueueOptions): AdmissionQueue {
    const { queues, shares } = opts;
    const deadlines = createTimerWheel<WaitingTask>(expire);

    function admit(request: DispatchRequest): Promise<TaskEnd> {
        const { task, signal } = request;
        const refused = checkAdmission(request, opts);
        if (refused !== undefined) {
            const { code, detail, retryAfterSeconds: retryAfterS } = refused;
            reportRefused(request, code, detail);
            return Promise.resolve(createProblemEnd(code, detail, Outcome.NotRun, retryAfterS));
        }
        return new Promise((resolve) => {
            const nowMs = Date.now();
            const onAbort = () => cancel(waiting);
            const waiting: WaitingTask = {
                ...request,
                arrivedAtMs: nowMs,
                expiresAtMs: Math.min(task.deadlineAtMs, nowMs + maxWaitingMs),
                excludedInstances: new Set(),
                turns: 0,
                startedAttempts: 0,
                isClaimed: false,
                isEnded: false,
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
        publish(queue);
        opts.onQueued(waiting.task.pool);
    }

    function take(waiting: WaitingTask): boolean {
        const queue = queues.remove(waiting);
        if (queue === undefined) {
            return false;
        }
        deadlines.remove(waiting, waiting.expiresAtMs);
        publish(queue);
        return true;
    }

    function publish(queue: TeamQueue): void {
        shares.setWaiting(queue.pool, queue.team, queue.waitingWork());
    }

    function refuse(waiting: WaitingTask, code: ProblemCode, detail: string, retryAfterS?: number): void {
        reportRefused(waiting, code, detail);
        waiting.end(waiting.lastEnd ?? createWaitingTaskEnd(waiting, code, detail, retryAfterS));
    }

    function expire(waiting: WaitingTask): void {
        const queue = queues.find(waiting.task.pool, waiting.task.team);
        if (!take(waiting)) {
            return;
        }
        const retryAfterS = estimateRetryAfterSeconds(queue);
        // Only the first task of a queue is tried while the limit is reached, so the queue says what held up all of them.
        if (queue?.isLimitReached === true) {
            refuse(waiting, "LIMIT_REACHED", "the team's upper limit left no room in time", retryAfterS);
        }
        else {
            refuse(waiting, "DEADLINE_PASSED", "no worker was free in time", retryAfterS);
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
        requeue: (waiting) => enqueue(waiting, true),
        take,
        refuse,
        publishWaiting: publish,
        stop: () => deadlines.stop(),
    };
}
