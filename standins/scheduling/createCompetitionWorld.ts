import type { LogEvent } from "../../src/logging";
import { createDemandMeter, type Machine, type MachineOrder } from "../../src/machines";
import type { Policy, Wave } from "../../src/policy";
import {
    addOccurrence,
    addSubmission,
    createDurationEstimates,
    createSchedulerState,
    createWorker,
    estimateRemaining,
    isComplete,
    markDone,
    planStarts,
    removeRun,
    type Run,
    type SchedulerState,
    type Worker,
} from "../../src/schedule";
import { createFleetController } from "../../src/scheduler";
import { plainPolicy, plainRoute, plainStep, plainSubmission } from "./plainPolicy";

/** Work that a pool gets. */
export interface PoolLoad {
    readonly taskMs: number;
    /** Submissions of 8 tasks of 2 cores, per second. */
    readonly submissionsPerSecond: number;
    /** The pool has at least this many waiting submissions at any time. */
    readonly backlog: number;
    /** Tasks that are started per second at most. */
    readonly startsPerSecond: number;
}

export interface CompetitionWorld {
    readonly state: SchedulerState;
    readonly loads: Map<string, PoolLoad>;
    readonly log: LogEvent[];
    readonly moves: { readonly machine: string; readonly from: string; readonly to: string; readonly atMs: number; }[];
    /** Times from arrival to completion, in milliseconds, by pool. */
    readonly durations: Map<string, { readonly acceptedAtMs: number; readonly tookMs: number; }[]>;
    /** Runs that a move or a maintenance ended, and runs that the controller stopped. */
    readonly harmed: string[];
    readonly begun: Set<string>;
    waves: readonly Wave[];
    evacuated: ReadonlySet<string>;
    addMachines(pool: string, count: number): void;
    addLongRunning(pool: string, count: number): void;
    /** Ends the machines of a rack with all that runs there. */
    loseRack(rack: string): void;
    /** Number of machines that serve a pool or are on their way to it. */
    countMachines(pool: string): number;
    start(): void;
    stop(): void;
    tick(): void;
}

const cores = 16;
const moveMs = 1500;
const joinMs = 1750;
const maintenanceMs = 2000;
const racks = 4;
const tickMs = 10;
const tasksPerSubmission = 8;
const standby = "spare";

/**
 * Creates a fleet of machines in racks under the product's decisions on starts and machines. Starts, moves and maintenance
 * take fixed times; a pool's starts can be limited.
 */
export function createCompetitionWorld(pools: readonly string[]): CompetitionWorld {
    const state = createSchedulerState();
    const estimates = createDurationEstimates();
    const meter = createDemandMeter(joinMs);
    const machines = new Map<string, Machine>();
    const policy = createPolicy(pools);
    const loads = new Map<string, PoolLoad>();
    const endsAtMs = new Map<Run, number>();
    const due = new Map<string, { arrivals: number; starts: number; }>();
    const moves: CompetitionWorld["moves"] = [];
    const durations: CompetitionWorld["durations"] = new Map(pools.map((pool) => [pool, []]));
    const harmed: string[] = [];
    const begun = new Set<string>();
    let [submissions, workers] = [0, 0];

    function join(machine: Machine, pool: string, sinceMs = 0): void {
        const id = `worker-${++workers}`;
        machines.set(machine.id, { ...machine, pool, state: "up", workerId: pool === standby ? undefined : id });
        if (pool !== standby) {
            const atMs = Date.now() - sinceMs;
            state.workers.set(
                id,
                Object.assign(createWorker(id, Date.now()), {
                    pool,
                    zone: machine.zone,
                    capacity: machine.capacity,
                    isRegistered: true,
                    isEvacuated: world.evacuated.has(machine.zone),
                    runList: { kind: "read" as const, firstReadAtMs: atMs, askedAtMs: atMs },
                    idleSinceMs: atMs,
                }),
            );
        }
    }

    function leave(machine: Machine): void {
        const worker = state.workers.get(machine.workerId ?? "");
        if (worker !== undefined) {
            [...worker.runs].forEach((run) => endRun(run));
            state.workers.delete(worker.id);
        }
    }

    function endRun(run: Run): void {
        endsAtMs.delete(run);
        removeRun(state, run, Date.now());
    }

    function carryOut(order: MachineOrder): void {
        const machine = machines.get(order.machine);
        if (machine === undefined) {
            return;
        }
        const runs = state.workers.get(machine.workerId ?? "")?.runs ?? new Set();
        runs.forEach(({ task }) => harmed.push(task.name));
        leave(machine);
        const target = order.kind === "move" ? order.pool : machine.pool;
        const away = order.kind === "move" ? "moving" : "maintenance";
        const gone = { ...machine, pool: target, state: away, workerId: undefined } as const;
        machines.set(machine.id, gone);
        if (order.kind === "move") {
            moves.push({ machine: machine.id, from: machine.pool, to: target, atMs: Date.now() });
        }
        else {
            begun.add(machine.id);
        }
        setTimeout(() => join(gone, target), order.kind === "move" ? moveMs : maintenanceMs);
    }

    function submit(pool: string, step: Partial<typeof plainStep>): void {
        const id = (++submissions).toString(16).padStart(16, "0");
        const submission = { ...plainSubmission(id, [step]), tenant: undefined, route: pool, service: pool };
        const entry = addSubmission(state, submission, 1, false, Date.now());
        addOccurrence(entry, Date.now());
        const { workCoreMs, criticalPathMs } = estimateRemaining(entry, estimates, Date.now());
        if (workCoreMs > 0) {
            const work = { cpuMillis: 1000 * workCoreMs / criticalPathMs, minDurationMs: criticalPathMs };
            meter.recordArrival(pool, work, Date.now());
        }
    }

    function countWaiting(pool: string): number {
        return [...state.submissions.values()].filter(({ submission, hasStarted }) =>
            submission.service === pool && !hasStarted
        ).length;
    }

    function addArrivals(pool: string, load: PoolLoad): void {
        const count = due.get(pool) ?? { arrivals: 0, starts: 0 };
        count.arrivals += load.submissionsPerSecond * tickMs / 1000;
        count.starts = Math.min(load.startsPerSecond / 10, count.starts + load.startsPerSecond * tickMs / 1000);
        due.set(pool, count);
        const step = {
            count: tasksPerSubmission,
            estimateMs: load.taskMs,
            size: { ...plainStep.size, cpuMillis: 2000 },
        };
        for (; count.arrivals >= 1; count.arrivals--) {
            submit(pool, step);
        }
        for (let missing = load.backlog - countWaiting(pool); missing > 0; missing--) {
            submit(pool, step);
        }
    }

    /** Starts what fits; starts beyond the pool's rate are taken back and tried again later. */
    function startTasks(): void {
        const times = { nowMs: Date.now(), timeOfDayMs: Date.now() };
        const options = { state, policy, estimates, ...times, maxStarts: 400, allowedWorkers: () => undefined };
        for (const run of planStarts(options)) {
            const { entry, step } = run.task;
            const load = loads.get(entry.submission.service);
            const count = due.get(entry.submission.service);
            if (load !== undefined && count !== undefined && !step.isLongRunning) {
                if (count.starts < 1) {
                    removeRun(state, run, run.task.waitingSinceMs);
                    continue;
                }
                count.starts--;
                endsAtMs.set(run, Date.now() + load.taskMs);
            }
            run.phase = "running";
            run.percent = step.isLongRunning ? 100 : 0;
            entry.hasStarted = true;
        }
    }

    function endTasks(): void {
        for (const [run, atMs] of endsAtMs) {
            if (atMs <= Date.now()) {
                const { task } = run;
                endRun(run);
                markDone(task);
                if (isComplete(task.entry)) {
                    const { submission } = task.entry;
                    durations.get(submission.service)?.push({
                        acceptedAtMs: submission.acceptedAtMs,
                        tookMs: Date.now() - submission.acceptedAtMs,
                    });
                    state.submissions.delete(submission.id);
                }
            }
        }
    }

    const world: CompetitionWorld = {
        state,
        loads,
        log: [],
        moves,
        durations,
        harmed,
        begun,
        waves: [],
        evacuated: new Set(),
        addMachines(pool, count) {
            for (let at = 0; at < count; at++) {
                const number = machines.size;
                const capacity = { cpuMillis: cores * 1000, memoryMb: 64_000, accelerators: 0 };
                const zone = `rack-${number % racks + 1}`;
                const id = `machine-${number + 1}`;
                join({ id, pool, state: "up", zone, labels: [], capacity, workerId: undefined }, pool, 60_000);
            }
        },
        addLongRunning: (pool, count) => submit(pool, { count, isLongRunning: true, maxPerWorker: 1 }),
        loseRack(rack) {
            for (const machine of [...machines.values()].filter(({ zone }) => zone === rack)) {
                leave(machine);
                machines.set(machine.id, { ...machine, state: "down", workerId: undefined });
            }
        },
        countMachines: (pool) =>
            [...machines.values()].filter((machine) => machine.pool === pool && machine.state !== "down").length,
        start: () => controller.start(),
        stop: () => controller.stop(),
        tick() {
            endTasks();
            loads.forEach((load, pool) => addArrivals(pool, load));
            startTasks();
            state.workers.forEach((worker) => {
                worker.isEvacuated = world.evacuated.has(worker.zone);
                if (worker.runList.kind === "read") {
                    worker.runList = { ...worker.runList, askedAtMs: Date.now() };
                }
            });
        },
    };

    const controller = createFleetController({
        state,
        clocks: { monotonicMs: () => Date.now(), suspendAwareMs: () => Date.now() },
        report: (event) => world.log.push(event),
        tenure: { token: 1, isValid: () => true, mayInterrupt: () => true } as Parameters<
            typeof createFleetController
        >[0]["tenure"],
        machines: {
            list: () => Promise.resolve({ kind: "machines", machines: [...machines.values()] }),
            move: () => Promise.reject(new Error("orders are sent only through MachineOrders")),
            maintain: () => Promise.reject(new Error("orders are sent only through MachineOrders")),
        },
        orders: {
            load: () => Promise.resolve(true),
            isBlocked: () => false,
            begun: () => begun,
            waveSeenAtMs: () => 1_000_000,
            send(orders, onResult) {
                orders.forEach((order) => {
                    carryOut(order);
                    onResult(order, { kind: "done" });
                });
                return Promise.resolve();
            },
        },
        meter,
        estimates,
        joinMs,
        policy: () => policy,
        waves: () => world.waves,
        evacuatedZones: () => world.evacuated,
        maintenanceMs,
        ordersPerSecond: 60,
        maxStopMs: 200,
        reportWave: () => Promise.resolve(true),
        stop: (run) => harmed.push(run.task.name),
        pollNow() {},
        onIncarnationEnded: (worker: Worker) => state.workers.delete(worker.id),
        onChange() {},
    });
    return world;
}

function createPolicy(names: readonly string[]): Policy {
    const pool = (name: string, isStandby: boolean) =>
        [name, { name, rejectsOverload: false, isStandby, maxConnections: 64 }] as const;
    return {
        ...plainPolicy,
        queues: names.map((name) => ({ ...plainRoute, name, service: name })),
        pools: new Map([...names.map((name) => pool(name, false)), pool(standby, true)]),
        tenants: [],
    };
}
