import { pause } from "../../src/clock";
import type {
    EndKind,
    ListedEnd,
    PollRequest,
    PollResult,
    RequestResult,
    StartRequest,
    StartResult,
    WorkerApi,
    WorkerTarget,
} from "../../src/runs";

/** How a worker may treat orders. */
export const workerFaults = [
    /** No call arrives. */
    "cut",
    /** No call arrives, and the caller is told so at once. */
    "resetting",
    /** Orders are not answered and carried out seconds later, by a later life where there is one. */
    "late",
    /** Whatever starts fails at once. */
    "failing",
    /** What runs does not move on. */
    "standstill",
    /** Calls arrive, and their answers are lost. */
    "mute",
    /** Starts arrive, and their answers are lost; all other calls are answered. */
    "muteStarts",
    /** Calls for lists are lost; all other calls are answered. */
    "lostLooks",
] as const;

export type WorkerFault = typeof workerFaults[number];

interface FakeRun {
    readonly task: string;
    readonly run: number;
    readonly startedAtMs: number;
    workMs: number;
    isStopping: boolean;
}

/** Something that a worker did, in the order in which it happened. */
export interface WorkerEvent {
    readonly atMs: number;
    readonly worker: string;
    readonly kind: "started" | "stopOrdered" | EndKind | "crashed";
    readonly task: string;
    readonly run: number;
    /** An owner was told of this end and has let it be forgotten, and the worker's lease held until then. */
    isAcked: boolean;
    ackedAtMs?: number;
    /** Ticket that a start carried. */
    readonly ticket?: string | undefined;
    /** Start of the worker's life in which it happened. */
    readonly bornMs?: number;
}

export interface FakeTaskWorker {
    readonly id: string;
    bornMs: number;
    fault: WorkerFault | undefined;
    /** Starts that are lost before they arrive, from now on. */
    lostStarts: number;
    /** How fast its clock runs; the platform allows 2% slower than ours. */
    clockRate: number;
    crash(): void;
    runningTasks(): readonly string[];
}

export interface FakeTaskWorkers {
    readonly api: WorkerApi;
    readonly events: readonly WorkerEvent[];
    add(id: string): FakeTaskWorker;
    get(id: string): FakeTaskWorker;
    /** Tasks that run on any worker. */
    runningTasks(): readonly string[];
    /** How long a task works, in milliseconds; long-running ones never end. */
    setWorkMs(find: (task: string) => number): void;
    /** Runs that end as failed once their work is over. */
    setFailing(isFailing: (task: string, run: number) => boolean): void;
    /** How long a stop takes, in milliseconds; the run is listed as running meanwhile. */
    setStopMs(stopMs: number): void;
    /** Moves ends and leases on; the scenario's clock calls it. */
    tick(): void;
}

const answerMs = 3;
const clientTimeoutMs = 250;
const lateMs = 2000;
const usualStopMs = 200;
const maxLeaseMs = 6000;
const failMs = 20;

interface State extends FakeTaskWorker {
    /** Time on its own clock, which counts from the start of this life, in milliseconds. */
    clockMs(): number;
    token: number;
    leaseUntilMs: number;
    runs: Map<string, FakeRun>;
    stopped: Map<string, number>;
    ends: ListedEnd[];
    ended: WorkerEvent[];
    /** Ends up to this number were not acknowledged before the lease lapsed. */
    lapsedEnd: number;
    nextEnd: number;
    isDown: boolean;
}

/** Workers in memory: leases, tokens, lists of ends, and the faults of their network; on the runtime's clock. */
export function createFakeTaskWorkers(): FakeTaskWorkers {
    const workers = new Map<string, State>();
    const events: WorkerEvent[] = [];
    let findWorkMs: (task: string) => number = () => 500;
    let isFailing: (task: string, run: number) => boolean = () => false;
    let stopMs = usualStopMs;

    function note(
        worker: State,
        kind: WorkerEvent["kind"],
        { task, run, ticket }: { task: string; run: number; ticket?: string | undefined; },
    ): WorkerEvent {
        const { id, bornMs } = worker;
        const event = { atMs: performance.now(), worker: id, bornMs, kind, task, run, ticket, isAcked: false };
        events.push(event);
        return event;
    }

    function end(worker: State, run: FakeRun, how: EndKind): void {
        worker.runs.delete(`${run.task} ${run.run}`);
        noteOldRun(worker, run);
        worker.ends.push({ number: worker.nextEnd++, task: run.task, run: run.run, how, checkpoint: "" });
        worker.ended.push(note(worker, how, run));
    }

    /** Starts of this run and of earlier ones are refused from now on. */
    function noteOldRun(worker: State, { task, run }: { task: string; run: number; }): void {
        worker.stopped.set(task, Math.max(run, worker.stopped.get(task) ?? 0));
    }

    function advance(worker: State): void {
        const nowMs = performance.now();
        const isLeaseOver = worker.clockMs() > worker.leaseUntilMs;
        for (const run of [...worker.runs.values()]) {
            if (isLeaseOver) {
                end(worker, run, "lapsed");
            }
            else if (run.isStopping && nowMs >= run.workMs) {
                end(worker, run, "stopped");
            }
            else if (!run.isStopping && worker.fault === "failing" && nowMs - run.startedAtMs >= failMs) {
                end(worker, run, "failed");
            }
            else if (!run.isStopping && worker.fault !== "standstill" && nowMs - run.startedAtMs >= run.workMs) {
                end(worker, run, isFailing(run.task, run.run) ? "failed" : "done");
            }
        }
        if (isLeaseOver) {
            worker.lapsedEnd = worker.nextEnd - 1;
        }
    }

    function acknowledge(worker: State, ackedEnd: number): void {
        worker.ends = worker.ends.filter(({ number }) => number > ackedEnd);
        for (const event of worker.ended.slice(worker.lapsedEnd, ackedEnd)) {
            event.isAcked = true;
            event.ackedAtMs ??= performance.now();
        }
    }

    function extend(worker: State, leaseUntilMs: number | undefined): void {
        const mostMs = worker.clockMs() + maxLeaseMs;
        worker.leaseUntilMs = Math.max(worker.leaseUntilMs, Math.min(leaseUntilMs ?? 0, mostMs));
    }

    function start(worker: State, order: StartRequest): StartResult {
        // What has ended by now, here or elsewhere, is noted before this start.
        workers.forEach(advance);
        const workerMs = worker.clockMs();
        if (order.token < worker.token) {
            return { kind: "fenced" };
        }
        worker.token = order.token;
        const name = `${order.task} ${order.run}`;
        if (worker.runs.has(name)) {
            return { kind: "started", workerMs };
        }
        if ((worker.stopped.get(order.task) ?? 0) >= order.run) {
            return { kind: "refused", reason: "oldRun", workerMs };
        }
        if (order.leaseUntilMs <= workerMs) {
            return { kind: "refused", reason: "late", workerMs };
        }
        extend(worker, order.leaseUntilMs);
        noteOldRun(worker, { task: order.task, run: order.run - 1 });
        const run = { ...order, startedAtMs: performance.now(), workMs: findWorkMs(order.task), isStopping: false };
        worker.runs.set(name, run);
        note(worker, "started", order);
        return { kind: "started", workerMs };
    }

    function stop(worker: State, task: string, number: number, token: number): RequestResult {
        if (token < worker.token) {
            return { kind: "fenced" };
        }
        worker.token = token;
        noteOldRun(worker, { task, run: number });
        const run = worker.runs.get(`${task} ${number}`);
        if (run !== undefined && !run.isStopping) {
            run.isStopping = true;
            run.workMs = performance.now() + stopMs;
            note(worker, "stopOrdered", run);
        }
        return { kind: "taken", workerMs: worker.clockMs() };
    }

    async function look(worker: State, order: PollRequest): Promise<PollResult> {
        const endsAtMs = performance.now() + order.waitMs;
        if (order.token < worker.token) {
            return { kind: "fenced" };
        }
        worker.token = order.token;
        advance(worker);
        acknowledge(worker, order.ackedEnd);
        extend(worker, order.leaseUntilMs);
        while (worker.ends.length === 0 && performance.now() < endsAtMs && worker.fault !== "resetting") {
            await pause(5);
        }
        const running = [...worker.runs.values()].map(({ task, run, startedAtMs }) => ({
            task,
            run,
            checkpoint: "",
            percent: progress(worker, startedAtMs, findWorkMs(task)),
            measure: 0,
        }));
        return {
            kind: "listed",
            workerMs: worker.clockMs(),
            bornMs: worker.bornMs,
            running,
            ended: [...worker.ends],
            areEndsComplete: true,
        };
    }

    function progress(worker: State, startedAtMs: number, workMs: number): number {
        if (workMs === Number.POSITIVE_INFINITY) {
            return 100;
        }
        const share = (performance.now() - startedAtMs) / workMs;
        return worker.fault === "standstill" ? 5 : Math.min(99, Math.floor(100 * share));
    }

    async function call<T>({ id, address }: WorkerTarget, carryOut: (worker: State) => T | Promise<T>) {
        if (address === "") {
            return { kind: "noAnswer", detail: "the address is not known" } as const;
        }
        const worker = workers.get(id);
        await pause(answerMs / 2);
        if (worker?.fault === "resetting") {
            return { kind: "noAnswer", detail: "the connection was reset" } as const;
        }
        if (worker === undefined || worker.isDown || worker.fault === "cut") {
            await pause(clientTimeoutMs);
            return { kind: "noAnswer", detail: "no answer in time" } as const;
        }
        if (worker.fault === "late" || worker.fault === "mute") {
            setTimeout(() => {
                const life = workers.get(id);
                if (life?.isDown === false) {
                    void carryOut(life);
                }
            }, worker.fault === "late" ? lateMs : 0);
            await pause(clientTimeoutMs);
            return { kind: "noAnswer", detail: "no answer in time" } as const;
        }
        const life = worker.bornMs;
        const result = await carryOut(worker);
        await pause(answerMs / 2);
        return worker.bornMs === life && !worker.isDown && !isResetting(worker)
            ? result
            : { kind: "noAnswer", detail: "the connection broke" } as const;
    }

    function find(id: string): State {
        const worker = workers.get(id);
        if (worker === undefined) {
            throw new Error(`there is no worker ${id}`);
        }
        return worker;
    }

    return {
        events,
        api: {
            async start(target, order) {
                const worker = workers.get(target.id);
                if (worker !== undefined && worker.lostStarts > 0) {
                    worker.lostStarts--;
                    await pause(clientTimeoutMs);
                    return { kind: "noAnswer", detail: "no answer in time" };
                }
                const result = await call<StartResult>(target, (worker) => start(worker, order));
                if (worker?.fault !== "muteStarts") {
                    return result;
                }
                await pause(clientTimeoutMs);
                return { kind: "noAnswer", detail: "no answer in time" };
            },
            stop: (target, task, run, token) => call<RequestResult>(target, (worker) => stop(worker, task, run, token)),
            async poll(target, order) {
                if (workers.get(target.id)?.fault === "lostLooks") {
                    await pause(clientTimeoutMs);
                    return { kind: "noAnswer", detail: "no answer in time" };
                }
                return call<PollResult>(target, (worker) => look(worker, order));
            },
            pace: (target) => call<RequestResult>(target, (worker) => ({ kind: "taken", workerMs: worker.clockMs() })),
        },
        add(id) {
            const bornAtMs = performance.now();
            const worker: State = {
                id,
                bornMs: Date.now(),
                clockRate: 1,
                fault: undefined,
                lostStarts: 0,
                token: 0,
                leaseUntilMs: 0,
                runs: new Map(),
                stopped: new Map(),
                ends: [],
                ended: [],
                lapsedEnd: 0,
                nextEnd: 1,
                isDown: false,
                crash() {
                    worker.runs.forEach((run) => note(worker, "crashed", run));
                    worker.runs.clear();
                    worker.isDown = true;
                },
                clockMs: () => (performance.now() - bornAtMs) * worker.clockRate,
                runningTasks: () => [...worker.runs.values()].map(({ task }) => task),
            };
            workers.set(id, worker);
            return worker;
        },
        get: find,
        runningTasks: () => [...workers.values()].flatMap((worker) => worker.runningTasks()),
        setWorkMs(next) {
            findWorkMs = next;
        },
        setFailing(next) {
            isFailing = next;
        },
        setStopMs(next) {
            stopMs = next;
        },
        tick: () => workers.forEach(advance),
    };
}

function isResetting({ fault }: FakeTaskWorker): boolean {
    return fault === "resetting";
}
