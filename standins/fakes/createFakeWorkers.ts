import { Left, Right } from "purify-ts";
import type { RunTaskRequest, TaskResult, Workers, WorkerUsage } from "../../src/workers";

/** One worker's truth, which a test may read and break. */
export interface FakeWorker {
    readonly instance: string;
    slots: number;
    state: "serving" | "draining" | "rebooting";
    pool: string;
    assignmentNumber: number;
    boots: number;
    failsAll: boolean;
    truncatesAnswers: boolean;
    /** Each answer carries another attempt's name. */
    crossesAnswers: boolean;
    /** Answers are held back for this long after the task's end, in milliseconds. */
    answerDelayMs: number;
    /** Nothing reaches the worker. */
    isDead: boolean;
    readonly running: Map<
        string,
        { readonly order: RunTaskRequest; leaseEndsAtMs: number; end(result: TaskResult): void; }
    >;
}

export interface FakeWorkers {
    readonly workers: Map<string, FakeWorker>;
    /** Pairs `client>instance` over which nothing passes. */
    readonly cuts: Set<string>;
    /** Every start of a task, for judges. */
    readonly starts: { readonly order: RunTaskRequest; readonly instance: string; readonly atMs: number; }[];
    delayMs: number;
    /** Workers do not look at an order's pool and assignment number. */
    takesAnyPool: boolean;
    rebootMs: number;
    /** How long a task runs, in milliseconds; by default what its payload `run N` says. */
    runMs: (order: RunTaskRequest) => number;
    /** Called with each start and end of a task. */
    onChange: () => void;
    add(instance: string, slots?: number): FakeWorker;
    /** The workers as one entry sees them. */
    connect(client: string): Workers;
}

/** Leases are checked at multiples of this. */
const leaseCheckMs = 50;
const unreachable = { kind: "unavailable", detail: "unreachable" } as const;

export function createFakeWorkers(): FakeWorkers {
    const workers = new Map<string, FakeWorker>();
    const fake: FakeWorkers = {
        workers,
        cuts: new Set(),
        starts: [],
        delayMs: 1,
        takesAnyPool: false,
        rebootMs: 1000,
        runMs: (order) => Number(/^run (\d+)/.exec(order.payload)?.[1] ?? 0),
        onChange: () => {},
        add,
        connect,
    };

    function add(instance: string, slots = 8): FakeWorker {
        const worker: FakeWorker = {
            instance,
            slots,
            state: "serving",
            pool: "",
            assignmentNumber: 0,
            boots: 1,
            failsAll: false,
            truncatesAnswers: false,
            crossesAnswers: false,
            answerDelayMs: 0,
            isDead: false,
            running: new Map(),
        };
        workers.set(instance, worker);
        return worker;
    }

    function sleep(ms: number): Promise<void> {
        return new Promise((resolve) => setTimeout(resolve, ms));
    }

    function refuse(worker: FakeWorker, order: RunTaskRequest): TaskResult | undefined {
        const isOtherPool = worker.pool !== "" && order.pool !== worker.pool;
        if (!fake.takesAnyPool && (isOtherPool || order.assignmentNumber < worker.assignmentNumber)) {
            return { kind: "notRun", reason: "staleAssignment" };
        }
        if (worker.state !== "serving") {
            return { kind: "notRun", reason: "leaving" };
        }
        return worker.running.size >= worker.slots ? { kind: "notRun", reason: "busy" } : undefined;
    }

    function start(worker: FakeWorker, order: RunTaskRequest): Promise<TaskResult> {
        fake.starts.push({ order, instance: worker.instance, atMs: Date.now() });
        return new Promise((resolve) => {
            const runMs = worker.failsAll ? 1 : fake.runMs(order);
            const timer = setTimeout(() => {
                const answer = { kind: "answered", body: `done ${order.payload}` } as const;
                task.end(worker.failsAll ? { kind: "failed", detail: "fails all" } : answer);
            }, runMs);
            const task = {
                order,
                leaseEndsAtMs: Date.now() + order.leaseMs,
                end(result: TaskResult) {
                    clearTimeout(timer);
                    clearTimeout(leaseTimer);
                    worker.running.delete(order.attempt);
                    fake.onChange();
                    resolve(result);
                },
            };
            let leaseTimer: NodeJS.Timeout;
            const checkLease = () => {
                if (Date.now() >= task.leaseEndsAtMs) {
                    task.end({ kind: "stopped", reason: "lease" });
                }
                else {
                    leaseTimer = setTimeout(checkLease, roundUpToCheck(task.leaseEndsAtMs - Date.now()));
                }
            };
            leaseTimer = setTimeout(checkLease, roundUpToCheck(order.leaseMs));
            worker.running.set(order.attempt, task);
            fake.onChange();
        });
    }

    function connect(client: string): Workers {
        function reach(instance: string): FakeWorker | undefined {
            const worker = workers.get(instance);
            return worker === undefined || worker.isDead || fake.cuts.has(`${client}>${instance}`) ? undefined : worker;
        }

        return {
            async runTask({ instance }, order, signal) {
                const worker = reach(instance);
                if (worker === undefined) {
                    return { kind: "notRun", reason: "unreachable" };
                }
                await sleep(fake.delayMs);
                if (reach(instance) === undefined) {
                    return { kind: "unknown", reason: "connectionLost" };
                }
                const aborted = new Promise<TaskResult>((resolve) => {
                    signal?.addEventListener("abort", () => resolve({ kind: "unknown", reason: "timeout" }));
                });
                const result = await Promise.race([refuse(worker, order) ?? start(worker, order), aborted]);
                await sleep(fake.delayMs + worker.answerDelayMs);
                if (reach(instance) === undefined) {
                    return { kind: "unknown", reason: "connectionLost" };
                }
                if (worker.crossesAnswers) {
                    return { kind: "unknown", reason: "crossed" };
                }
                return worker.truncatesAnswers ? { kind: "unknown", reason: "truncated" } : result;
            },
            async renewLeases({ instance }, { attempts, leaseMs }) {
                await sleep(fake.delayMs);
                const worker = reach(instance);
                if (worker === undefined) {
                    return Left(unreachable);
                }
                for (const attempt of attempts) {
                    const task = worker.running.get(attempt);
                    if (task !== undefined) {
                        task.leaseEndsAtMs = Date.now() + leaseMs;
                    }
                }
                return Right(attempts.filter((attempt) => !worker.running.has(attempt)));
            },
            async stopTask({ instance }, attempt, mode) {
                await sleep(fake.delayMs);
                const worker = reach(instance);
                if (worker === undefined) {
                    return Left(unreachable);
                }
                if (mode === "checkpoint") {
                    worker.running.get(attempt)?.end({ kind: "stopped", reason: "checkpoint", checkpoint: "saved" });
                }
                else if (mode === "stop") {
                    worker.running.get(attempt)?.end({ kind: "stopped", reason: "stop" });
                }
                return Right(undefined);
            },
            async readUsage({ instance }) {
                await sleep(fake.delayMs);
                const worker = reach(instance);
                return worker === undefined ? Left(unreachable) : Right(readUsage(worker));
            },
            async sendCommand({ instance }, notice) {
                await sleep(fake.delayMs);
                const worker = reach(instance);
                if (worker === undefined) {
                    return Left(unreachable);
                }
                if (notice.assignmentNumber < worker.assignmentNumber) {
                    return Left({ kind: "refused", detail: "an older assignment number" });
                }
                // A machine that restarts hears nothing. Were a second reboot taken here, it would end after the
                // first and take a worker out that has been told to serve since.
                if (worker.state === "rebooting") {
                    return Left({ kind: "refused", detail: "it restarts" });
                }
                worker.assignmentNumber = notice.assignmentNumber;
                switch (notice.kind) {
                    case "drain":
                        worker.state = "draining";
                        break;
                    case "serve":
                        worker.state = "serving";
                        worker.pool = notice.pool;
                        break;
                    case "reboot":
                        reboot(worker);
                        break;
                }
                return Right(undefined);
            },
            close: () => Promise.resolve(),
        };
    }

    function reboot(worker: FakeWorker): void {
        worker.state = "rebooting";
        [...worker.running.values()].forEach((task) => task.end({ kind: "stopped", reason: "stop" }));
        setTimeout(() => {
            worker.boots++;
            worker.state = "draining";
        }, fake.rebootMs);
    }

    return fake;
}

function readUsage(worker: FakeWorker): WorkerUsage {
    const orders = [...worker.running.values()].map(({ order }) => order);
    const sum = (pick: (order: RunTaskRequest) => number) => orders.reduce((total, order) => total + pick(order), 0);
    return {
        slots: worker.slots,
        runningTasks: orders.length,
        size: {
            processors: sum((order) => order.size.processors),
            memoryMb: sum((order) => order.size.memoryMb),
            accelerators: sum((order) => order.size.accelerators),
        },
        state: worker.state,
        assignmentNumber: worker.assignmentNumber,
        workerBoot: String(worker.boots),
        tasks: orders.map(({ attempt, team, pool, holder, isRepeatable = false }) => ({
            attempt,
            team,
            pool,
            holder,
            isRepeatable,
        })),
    };
}

function roundUpToCheck(ms: number): number {
    return Math.max(1, Math.ceil(ms / leaseCheckMs)) * leaseCheckMs;
}
