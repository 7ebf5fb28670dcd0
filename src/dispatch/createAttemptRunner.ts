import type { Problem } from "../errors";
import type { Hold } from "../limits";
import type { Reporter } from "../logging";
import type { PoolIndex } from "../pools";
import type { Shares } from "../shares";
import type { Instance } from "../state";
import type { TaskEnd } from "../tasks";
import type { TaskResult } from "../workers";
import type { Choice } from "./chooseWorker";
import { type AdmissionQueue, maxWaitingMs } from "./createAdmissionQueue";
import type { Attempt, LeasedAttempts } from "./createLeasedAttempts";
import { createRetryBudget } from "./createRetryBudget";
import { createWaitingTaskEnd, decideNextStep, type NextStep } from "./decideNextStep";
import { recordResult, type RecordResultOptions } from "./recordResult";
import type { WaitingTask } from "./waitingTask";

export interface AttemptRunnerOptions extends RecordResultOptions {
    readonly pools: PoolIndex;
    readonly shares: Shares;
    readonly report: Reporter;
    readonly attempts: LeasedAttempts;
    readonly admission: AdmissionQueue;
    /** Called when a slot that this entry used or had reserved may be free again. */
    readonly onSlotFreed: (pool: string, freed: FreedSlot) => void;
}

/** A slot that may be free again. */
export interface FreedSlot {
    readonly instance: Instance;
    /** True if its task was stopped to reclaim the slot for other tasks. */
    readonly isReclaimed: boolean;
}

export interface AttemptRunner {
    /** Adds to the retry budget for a task that arrives. */
    recordRequest(): void;
    /** Claims the task, checks it, and runs one attempt; then ends the task or requeues it. */
    run(waiting: WaitingTask, choice: Chosen, hold: Hold): Promise<void>;
}

type Chosen = Extract<Choice, { kind: "chosen"; }>;

/** Most attempts of one task that workers may have started; beyond it, a failure is final. */
const maxAttempts = 3;

/** Creates a runner of single attempts: it runs them, records their results, and retries within a budget. */
export function createAttemptRunner(opts: AttemptRunnerOptions): AttemptRunner {
    const { pools, shares, report, attempts: leasedAttempts, admission: admissionQueue, loads } = opts;
    const retryBudget = createRetryBudget();

    async function runAttempt(
        waiting: WaitingTask,
        { instance, reason, candidates }: Chosen,
        hold: Hold,
    ): Promise<void> {
        const { task } = waiting;
        const attempt = leasedAttempts.begin(waiting, instance, hold);
        loads.reserve(instance.name, task.size);
        shares.addRunning(task.pool, task.team, task.size);
        if (waiting.turns++ === 0) {
            shares.recordFirstTurn(task.pool, task.team, task.urgent);
        }
        const problem = await claim(waiting);
        const end = problem ?? checkBeforeSend(waiting, instance);
        if (end !== undefined) {
            leasedAttempts.drop(attempt);
            release(attempt);
            settle(waiting, end);
            return;
        }
        const { id: requestId, team, pool } = task;
        report({
            kind: "placed",
            requestId,
            attempt: attempt.id,
            team,
            pool,
            instance: instance.name,
            reason,
            candidates,
        });
        const startedAtMs = performance.now();
        const result = await leasedAttempts.run(attempt);
        const durationMs = Math.round(performance.now() - startedAtMs);
        report({
            kind: "ended",
            requestId,
            attempt: attempt.id,
            team,
            instance: instance.name,
            result: describeResult(result),
            durationMs,
        });
        recordResult(attempt, result, durationMs, opts);
        release(attempt);
        settle(waiting, decideNextStep(attempt, result));
    }

    async function claim(waiting: WaitingTask): Promise<NextStep | undefined> {
        if (waiting.isClaimed) {
            return undefined;
        }
        const problem: Problem | undefined = await waiting.beforeSend();
        waiting.isClaimed = problem === undefined;
        return problem === undefined ? undefined : { kind: "end", end: { kind: "problem", problem } };
    }

    /**
     * Checks cancellation, deadline and placement once more right before the task is sent. The claim may have taken
     * long, and this process may have been paused. Without the check, a task could run after its caller was told that
     * it had not, or on an instance that has left the pool.
     */
    function checkBeforeSend(waiting: WaitingTask, instance: Instance): NextStep | undefined {
        if (waiting.signal.aborted) {
            return { kind: "end", end: createWaitingTaskEnd(waiting, "CANCELLED", "cancelled before it was sent") };
        }
        if (Date.now() > waiting.expiresAtMs) {
            const detail = "the deadline passed before the task was sent";
            return { kind: "end", end: waiting.lastEnd ?? createWaitingTaskEnd(waiting, "DEADLINE_PASSED", detail) };
        }
        const now = pools.findInstance(instance.name);
        const isSame = now?.pool === instance.pool && now.state.kind === "serving"
            && now.assignmentNumber === instance.assignmentNumber;
        return isSame ? undefined : { kind: "again" };
    }

    function release({ instance, stopping, waiting: { task } }: Attempt): void {
        loads.release(instance.name, task.size);
        shares.removeRunning(task.pool, task.team, task.size);
        opts.onSlotFreed(task.pool, { instance, isReclaimed: stopping === "reclaimed" });
    }

    function settle(waiting: WaitingTask, next: NextStep): void {
        switch (next.kind) {
            case "end":
                waiting.end(next.end);
                return;
            case "again":
                requeue(waiting);
                return;
            case "resume":
                if (next.checkpoint !== undefined) {
                    waiting.checkpoint = next.checkpoint;
                }
                waiting.expiresAtMs = Date.now() + maxWaitingMs;
                requeue(waiting);
                return;
            case "retry":
                retry(waiting, next.end);
                return;
        }
    }

    function retry(waiting: WaitingTask, end: TaskEnd): void {
        const isAllowed = waiting.startedAttempts < maxAttempts && !waiting.signal.aborted && retryBudget.trySpend();
        if (!isAllowed) {
            waiting.end(end);
            return;
        }
        waiting.lastEnd = end;
        requeue(waiting);
    }

    function requeue(waiting: WaitingTask): void {
        if (waiting.signal.aborted) {
            admissionQueue.refuse(waiting, "CANCELLED", "cancelled between two tries");
        }
        else {
            admissionQueue.requeue(waiting);
        }
    }

    return { recordRequest: () => retryBudget.recordRequest(), run: runAttempt };
}

function describeResult(result: TaskResult): string {
    return "reason" in result ? `${result.kind}: ${result.reason}` : result.kind;
}
