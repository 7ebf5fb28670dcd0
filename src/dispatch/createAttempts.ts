import type { Problem } from "../errors";
import type { Hold } from "../limits";
import type { Reporter } from "../logging";
import type { PoolIndex } from "../pools";
import type { Shares } from "../shares";
import type { Instance } from "../state";
import type { TaskEnd } from "../tasks";
import type { TaskResult } from "../workers";
import type { Choice } from "./chooseWorker";
import { createWaitingEnd, type NextStep, readResult } from "./createEnds";
import { createRetryBudget } from "./createRetryBudget";
import type { Tries, Try } from "./createTries";
import { maxWaitingMs, type WaitingRoom } from "./createWaitingRoom";
import { learnFromResult, type LearnOptions } from "./learnFromResult";
import type { WaitingTask } from "./waitingTask";

export interface AttemptsOptions extends LearnOptions {
    readonly pools: PoolIndex;
    readonly shares: Shares;
    readonly report: Reporter;
    readonly tries: Tries;
    readonly room: WaitingRoom;
    /** Called when a slot that this entry used may be free again. */
    readonly onFreed: (pool: string, freed: Freed) => void;
}

/** A slot that may be free again. */
export interface Freed {
    readonly instance: Instance;
    /** True where its task was stopped for others. */
    readonly isReclaimed: boolean;
}

export interface Attempts {
    noteRequest(): void;
    /** Claims, checks, sends and ends one try, or puts the task back for another. */
    attempt(waiting: WaitingTask, choice: Chosen, hold: Hold): Promise<void>;
}

type Chosen = Extract<Choice, { kind: "chosen"; }>;

const maxTries = 3;

export function createAttempts(opts: AttemptsOptions): Attempts {
    const { pools, shares, report, tries, room, loads } = opts;
    const budget = createRetryBudget();

    async function attempt(
        waiting: WaitingTask,
        { instance, reason, candidates }: Chosen,
        hold: Hold,
    ): Promise<void> {
        const { task } = waiting;
        const one = tries.begin(waiting, instance, hold);
        loads.take(instance.name, task.size);
        shares.addRunning(task.pool, task.team, task.size);
        if (waiting.turns++ === 0) {
            shares.noteFirstTurn(task.pool, task.team, task.urgent);
        }
        const problem = await claim(waiting);
        const end = problem ?? checkBeforeSend(waiting, instance);
        if (end !== undefined) {
            tries.drop(one);
            giveBack(one);
            settle(waiting, end);
            return;
        }
        const { id: requestId, team, pool } = task;
        report({
            kind: "placed",
            requestId,
            attempt: one.attempt,
            team,
            pool,
            instance: instance.name,
            reason,
            candidates,
        });
        const startedAtMs = performance.now();
        const result = await tries.run(one);
        const durationMs = Math.round(performance.now() - startedAtMs);
        report({
            kind: "ended",
            requestId,
            attempt: one.attempt,
            team,
            instance: instance.name,
            result: describeResult(result),
            durationMs,
        });
        learnFromResult(one, result, durationMs, opts);
        giveBack(one);
        settle(waiting, readResult(one, result));
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
     * The last look before anything leaves. The claim may have taken long and this process may have been paused: a task
     * sent now would run after its caller was told that it had not, or on an instance that has left the pool.
     */
    function checkBeforeSend(waiting: WaitingTask, instance: Instance): NextStep | undefined {
        if (waiting.signal.aborted) {
            return { kind: "end", end: createWaitingEnd(waiting, "CANCELLED", "cancelled before it was sent") };
        }
        if (Date.now() > waiting.expiresAtMs) {
            const detail = "the deadline passed before the task was sent";
            return { kind: "end", end: waiting.lastEnd ?? createWaitingEnd(waiting, "DEADLINE_PASSED", detail) };
        }
        const now = pools.findInstance(instance.name);
        const isSame = now?.pool === instance.pool && now.state.kind === "serving"
            && now.assignmentNumber === instance.assignmentNumber;
        return isSame ? undefined : { kind: "again" };
    }

    function giveBack({ instance, stopping, waiting: { task } }: Try): void {
        loads.giveBack(instance.name, task.size);
        shares.removeRunning(task.pool, task.team, task.size);
        opts.onFreed(task.pool, { instance, isReclaimed: stopping === "reclaimed" });
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
        const isAllowed = waiting.startedTries < maxTries && !waiting.signal.aborted && budget.trySpend();
        if (!isAllowed) {
            waiting.end(end);
            return;
        }
        waiting.lastEnd = end;
        requeue(waiting);
    }

    function requeue(waiting: WaitingTask): void {
        if (waiting.signal.aborted) {
            room.refuse(waiting, "CANCELLED", "cancelled between two tries");
        }
        else {
            room.putBack(waiting);
        }
    }

    return { noteRequest: () => budget.noteRequest(), attempt };
}

function describeResult(result: TaskResult): string {
    return "reason" in result ? `${result.kind}: ${result.reason}` : result.kind;
}
