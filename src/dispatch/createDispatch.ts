import { randomUUID } from "node:crypto";
import type { Configuration } from "../configuration";
import { createProblem, Outcome } from "../errors";
import type { Hold, Limits } from "../limits";
import type { Reporter } from "../logging";
import type { Instance } from "../state";
import type { TaskEnd, TaskRequest } from "../tasks";
import type { TaskOrder, TaskResult, TaskSize, Workers } from "../workers";
import type { Dispatch, DispatchRequest } from "./dispatch";

export interface DispatchOptions {
    readonly boot: string;
    readonly zone: string;
    readonly configuration: Configuration;
    readonly limits: Limits;
    readonly workers: Workers;
    readonly report: Reporter;
    /** Lease of a task at its worker, in milliseconds; renewed at a third of it. */
    readonly leaseMs: number;
}

interface Queued extends DispatchRequest {
    end(end: TaskEnd): void;
}

interface Running {
    readonly instance: Instance;
    readonly size: TaskSize;
}

const leaseRenewalsPerLease = 3;

/** First come, first served over the serving instances of the pool. */
export function createDispatch(opts: DispatchOptions): Dispatch {
    const queue: Queued[] = [];
    const running = new Map<string, Running>();
    let renewal: NodeJS.Timeout | undefined;

    function candidatesFor(task: TaskRequest): Instance[] {
        const instances = Object.values(opts.configuration.state()?.instances ?? {});
        return instances.filter((instance) =>
            instance.pool === task.pool && instance.state.kind === "serving" && fits(task.size, instance.capacity)
        );
    }

    function countOn(instance: Instance): number {
        return [...running.values()].filter((entry) => entry.instance.name === instance.name).length;
    }

    function pump(): void {
        for (const queued of [...queue]) {
            const free = candidatesFor(queued.task).filter((instance) => countOn(instance) < instance.slots);
            const chosen = free.sort((a, b) => countOn(a) - countOn(b))[0];
            const hold = chosen === undefined
                ? undefined
                : opts.limits.tryTake(queued.task.team, queued.task.size, queued.task.id);
            if (chosen !== undefined && hold !== undefined) {
                queue.splice(queue.indexOf(queued), 1);
                void attempt(queued, chosen, hold, free.length);
            }
        }
    }

    async function attempt(queued: Queued, instance: Instance, hold: Hold, candidates: number): Promise<void> {
        const { task } = queued;
        const order = createOrder(task, instance);
        running.set(order.attempt, { instance, size: task.size });
        const problem = await queued.beforeSend();
        const end = problem === undefined
            ? await send(queued, order, instance, candidates)
            : { kind: "problem", problem } as const;
        running.delete(order.attempt);
        opts.limits.release(hold);
        queued.end(end);
        pump();
    }

    async function send(queued: Queued, order: TaskOrder, instance: Instance, candidates: number): Promise<TaskEnd> {
        const { id: requestId, team, pool } = queued.task;
        const { attempt } = order;
        const startedAtMs = performance.now();
        const reason = "fewest of this entry's tasks";
        opts.report({
            kind: "placed",
            requestId,
            attempt,
            team,
            pool,
            instance: instance.name,
            reason,
            candidates,
        });
        const result = await opts.workers.runTask({ instance: instance.name, url: instance.url }, order, queued.signal);
        const durationMs = Math.round(performance.now() - startedAtMs);
        opts.report({
            kind: "ended",
            requestId,
            attempt,
            team,
            instance: instance.name,
            result: result.kind,
            durationMs,
        });
        return readResult(result, instance);
    }

    function createOrder(task: TaskRequest, instance: Instance): TaskOrder {
        return {
            attempt: randomUUID(),
            team: task.team,
            pool: task.pool,
            assignmentNumber: instance.assignmentNumber,
            leaseMs: opts.leaseMs,
            holder: opts.boot,
            size: task.size,
            payload: task.payload,
        };
    }

    async function renewLeases(): Promise<void> {
        const byInstance = new Map<string, { instance: Instance; attempts: string[]; }>();
        for (const [attempt, { instance }] of running) {
            const batch = byInstance.get(instance.name) ?? { instance, attempts: [] };
            batch.attempts.push(attempt);
            byInstance.set(instance.name, batch);
        }
        for (const { instance, attempts } of byInstance.values()) {
            const worker = { instance: instance.name, url: instance.url };
            void opts.workers.renewLeases(worker, { holder: opts.boot, attempts, leaseMs: opts.leaseMs });
        }
    }

    return {
        run(request) {
            const { task } = request;
            if (candidatesFor(task).length === 0) {
                const problem = createProblem("NEVER_FITS", `pool ${task.pool} has no instance of that size`);
                return Promise.resolve({ kind: "problem", problem });
            }
            return new Promise((resolve) => {
                queue.push({ ...request, end: resolve });
                pump();
            });
        },
        runningCount: () => running.size + queue.length,
        start() {
            opts.limits.onRoom(() => pump());
            renewal = setInterval(() => void renewLeases(), opts.leaseMs / leaseRenewalsPerLease);
        },
        stop() {
            clearInterval(renewal);
            return Promise.resolve();
        },
    };
}

function fits(size: TaskSize, capacity: TaskSize): boolean {
    return size.processors <= capacity.processors
        && size.memoryMb <= capacity.memoryMb
        && size.accelerators <= capacity.accelerators;
}

function readResult(result: TaskResult, instance: Instance): TaskEnd {
    switch (result.kind) {
        case "answered":
            return { kind: "answered", body: result.body, instance: instance.name };
        case "failed":
            return problem("TASK_FAILED", result.detail, Outcome.Answered);
        case "stopped":
            return problem("OUTCOME_UNKNOWN", `the worker stopped the task: ${result.reason}`, Outcome.Unknown);
        case "notRun":
            return problem("NO_WORKER", `the worker refused: ${result.reason}`, Outcome.NotRun);
        case "unknown":
            return problem("OUTCOME_UNKNOWN", `no answer: ${result.reason}`, Outcome.Unknown);
    }
}

function problem(code: Parameters<typeof createProblem>[0], detail: string, outcome: Outcome): TaskEnd {
    return { kind: "problem", problem: createProblem(code, detail, { outcome }) };
}
