import { chooseMoves, createDemandMeter, type IdleMachine } from "../../src/machines";
import type { Policy } from "../../src/policy";
import {
    acceptsNewWork,
    addOccurrence,
    addSubmission,
    createDurationEstimates,
    createSchedulerState,
    createWorker,
    estimateRemaining,
    findTask,
    findTimeliness,
    isComplete,
    markDone,
    planStarts,
    queueOf,
    removeRun,
    removeWorker,
    type Run,
    type SubmissionEntry,
    Timeliness,
    type Worker,
} from "../../src/schedule";
import { createCompetition, createConsolidator, measureDemand } from "../../src/scheduler";
import { plainRoute } from "../../standins/scheduling";
import { createArrivals, type ModelSubmission, poolName, tenantName, tenantShares } from "./createArrivals";
import type { ModelFleet } from "./drawFleet";
import { type ModelResult, scoreDay } from "./scoreDay";

/** Time of a record in the store and of an order to a worker, until a task works, in milliseconds. */
const startDelayMs = 20;
/** From a task's end until its owner knows, in milliseconds. */
const endDelayMs = 25;
const stepMs = 10;
/** How long a stop takes, in milliseconds. */
const maxStopMs = 200;
const decideMs = 150;
/** What a machine needs beside the move itself to take work, in milliseconds. */
const joinOverheadMs = 250;
/** Orders to machines in one round of decisions: a part of the machines, and a few at least. */
const movesPerMachine = 0.13;
const leastMoves = 8;

const standbyPool = "spare";

interface ModelMachine {
    readonly id: string;
    readonly zone: string;
    readonly rack: string;
    pool: string;
    worker: Worker | undefined;
    joinsAtMs: number;
    lives: number;
}

interface Ending {
    readonly run: Run;
    readonly atMs: number;
}

/**
 * Plays a day of a fleet: the product's modules decide on starts and moves, and the model answers for store, workers and
 * machines with fixed delays. Nothing fails in it; it compares decisions, and the bench has the last word.
 */
export function simulateFleet(fleet: ModelFleet, seed: number): ModelResult {
    const state = createSchedulerState();
    const estimates = createDurationEstimates();
    const joinMs = fleet.moveMs + joinOverheadMs;
    const meter = createDemandMeter(joinMs);
    const policy = createPolicy(fleet);
    const mostMoves = Math.max(leastMoves, Math.floor(movesPerMachine * fleet.machines));
    const machines = createMachines(fleet);
    let nowMs = 0;
    const consolidator = createConsolidator({
        state,
        clocks: { monotonicMs: () => nowMs, suspendAwareMs: () => nowMs },
        tenure: { mayInterrupt: () => true },
        maxStopMs,
        stop(run) {
            run.phase = "stopping";
            const atMs = nowMs + maxStopMs;
            endings.set(atMs, [...endings.get(atMs) ?? [], { run, atMs }]);
        },
    });
    const competition = createCompetition({ state, estimates, joinMs });
    const arrivals = createArrivals(fleet, seed);
    const known = new Map<string, ModelSubmission>();
    const completedAtMs = new Map<string, number>();
    const endings = new Map<number, Ending[]>();
    let [next, machineMs, moves, workedCoreMs] = [0, 0, 0, 0];
    let decideAtMs = 0;
    let isDue = true;

    function take(arrival: ModelSubmission, nowMs: number): void {
        const entry = addSubmission(state, arrival.submission, 1, false, nowMs);
        known.set(arrival.submission.id, arrival);
        state.serviceShares.recordArrival(entry);
        addOccurrence(entry, nowMs);
        const { workCoreMs, criticalPathMs: chainMs } = estimateRemaining(entry, estimates, nowMs);
        if (workCoreMs > 0) {
            const work = { cpuMillis: 1000 * workCoreMs / Math.max(1, chainMs), minDurationMs: chainMs };
            meter.recordArrival(arrival.submission.service, work, nowMs);
        }
    }

    function begin(run: Run, nowMs: number): void {
        const { task } = run;
        const trueMs = known.get(task.entry.submission.id)?.taskMs[task.stepNumber]?.[task.index] ?? 0;
        const isRemote = task.step.dataRack !== undefined && run.worker.rack !== task.step.dataRack;
        const tookMs = trueMs * (isRemote ? fleet.remoteFactor : 1);
        run.phase = "running";
        run.percent = task.step.isLongRunning ? 100 : 0;
        if (Number.isFinite(tookMs)) {
            workedCoreMs += tookMs * task.step.size.cpuMillis / 1000;
            const atMs = Math.ceil((nowMs + startDelayMs + tookMs + endDelayMs) / stepMs) * stepMs;
            endings.set(atMs, [...endings.get(atMs) ?? [], { run, atMs }]);
        }
    }

    function end({ run }: Ending, nowMs: number): void {
        const { task } = run;
        if (findTask(state, task.name) !== task || !task.runs.includes(run)) {
            return;
        }
        if (run.phase === "stopping") {
            removeRun(state, run, nowMs);
            return;
        }
        estimates.recordDuration(task.entry.submission.route, task.step.estimateMs, nowMs - run.plannedAtMs);
        removeRun(state, run, nowMs);
        markDone(task);
        finish(task.entry, nowMs);
    }

    function finish(entry: SubmissionEntry, nowMs: number): void {
        if (isComplete(entry)) {
            completedAtMs.set(entry.submission.id, nowMs);
            if (isUseful(entry)) {
                state.serviceShares.recordServed(entry);
            }
            state.submissions.delete(entry.submission.id);
        }
    }

    function isUseful(entry: SubmissionEntry): boolean {
        const ageMs = nowMs - entry.submission.acceptedAtMs;
        const estimate = estimateRemaining(entry, estimates, nowMs);
        return findTimeliness(ageMs, queueOf(policy, entry.submission), estimate) !== Timeliness.tooLate;
    }

    function join(machine: ModelMachine, nowMs: number): void {
        machine.joinsAtMs = Number.POSITIVE_INFINITY;
        if (machine.pool !== standbyPool) {
            machine.worker = addWorker(machine, fleet, nowMs);
            state.workers.set(machine.worker.id, machine.worker);
        }
    }

    function listIdle(nowMs: number): readonly IdleMachine[] {
        return machines.filter(({ id, joinsAtMs, pool, worker }) =>
            joinsAtMs === Number.POSITIVE_INFINITY
            && (pool === standbyPool
                || (worker !== undefined && worker.runs.size === 0
                    && (competition.reclaimed.has(id) || acceptsNewWork(worker))))
        ).map(({ id, pool, worker }) => ({
            id,
            pool,
            cpuMillis: fleet.cores * 1000,
            idleMs: nowMs - (worker?.idleSinceMs ?? 0),
            isEvacuated: false,
            isReclaimed: competition.reclaimed.has(id),
        }));
    }

    function decide(nowMs: number): void {
        const measured = measureDemand({
            state,
            policy,
            estimates,
            meter,
            nowMs,
            timeOfDayMs: nowMs,
            joinMs,
            comingCpuMillis: (pool) =>
                machines.filter((machine) => machine.pool === pool && machine.joinsAtMs < Number.POSITIVE_INFINITY)
                    .length * fleet.cores * 1000,
            hosts: machines.map(() => ({
                labels: [],
                capacity: { cpuMillis: fleet.cores * 1000, memoryMb: Number.POSITIVE_INFINITY, accelerators: 0 },
            })),
        });
        const atRest = machines.filter(({ joinsAtMs }) => joinsAtMs === Number.POSITIVE_INFINITY);
        const countCpuMillis = (list: readonly ModelMachine[]) => list.length * fleet.cores * 1000;
        const { demand: pools, entitlements } = competition.judge(measured, {
            unassignedCpuMillis: countCpuMillis(atRest.filter(({ pool }) => pool === standbyPool)),
            heldCpuMillis: (pool) => countCpuMillis(machines.filter((machine) => machine.pool === pool)),
        }, nowMs);
        consolidator.decide(measured);
        const idle = listIdle(nowMs);
        const impossibleMoves = new Set<string>();
        const chosen = chooseMoves({ pools, idle, impossibleMoves, maxMoves: mostMoves, entitlements });
        const movingIds = new Set(chosen.map(({ machine }) => machine));
        competition.reclaim({
            demand: pools,
            entitlements,
            moves: chosen,
            idle,
            impossibleMoves,
            machines: atRest.flatMap(({ id, pool, worker }) =>
                worker === undefined || movingIds.has(id)
                    ? []
                    : [{ machine: { id, pool, capacity: worker.capacity }, worker }]
            ),
            isTakenOver: (id) => movingIds.has(id),
            nowMs,
        });
        for (const move of chosen) {
            const machine = machines.find(({ id }) => id === move.machine);
            if (machine !== undefined) {
                send(machine, move.to, nowMs);
            }
        }
    }

    function send(machine: ModelMachine, pool: string, nowMs: number): void {
        moves++;
        if (machine.worker !== undefined) {
            removeWorker(state, machine.worker);
            state.workers.delete(machine.worker.id);
        }
        Object.assign(machine, { pool, worker: undefined, joinsAtMs: nowMs + joinMs - decideMs / 2 });
    }

    /** Their runs are started again, as after a lease. */
    function loseMachines({ share }: { readonly share: number; }): void {
        for (const machine of machines.splice(0, Math.round(share * machines.length))) {
            const { worker } = machine;
            if (worker !== undefined) {
                [...worker.runs].forEach((run) => removeRun(state, run, nowMs));
                removeWorker(state, worker);
                state.workers.delete(worker.id);
            }
        }
    }

    const lastMs = fleet.durationMs + settleMs;
    for (; nowMs < lastMs; nowMs += stepMs) {
        for (let arrival = arrivals[next]; arrival !== undefined && arrival.atMs <= nowMs; arrival = arrivals[next]) {
            take(arrival, nowMs);
            next++;
            isDue = true;
        }
        for (const ending of endings.get(nowMs) ?? []) {
            end(ending, nowMs);
            isDue = true;
        }
        endings.delete(nowMs);
        for (const machine of machines) {
            if (machine.joinsAtMs <= nowMs) {
                join(machine, nowMs);
                isDue = true;
            }
        }
        if (fleet.loss?.atMs === nowMs) {
            loseMachines(fleet.loss);
        }
        if (isDue) {
            const options = { state, policy, estimates, nowMs, timeOfDayMs: nowMs, maxStarts: 200 };
            planStarts({ ...options, allowedWorkers: () => undefined }).forEach((run) => begin(run, nowMs));
            isDue = false;
        }
        if (nowMs >= decideAtMs) {
            decide(nowMs);
            decideAtMs = nowMs + decideMs;
        }
        machineMs += machines.filter(({ pool }) => pool !== standbyPool).length * stepMs;
    }
    return scoreDay({ fleet, arrivals, completedAtMs, machineMs, moves, workedCoreMs });
}

/** Played on after the last arrival, in milliseconds. */
const settleMs = 5000;

function createPolicy(fleet: ModelFleet): Policy {
    const names = Array.from({ length: fleet.pools }, (_, pool) => poolName(pool));
    const service = (name: string, isStandby: boolean) =>
        [name, { name, rejectsOverload: false, isStandby, maxConnections: 64 }] as const;
    return {
        version: 1,
        queues: names.map((name) => ({ ...plainRoute, name, service: name, pathPrefix: `/${name}/` })),
        pools: new Map([...names.map((name) => service(name, false)), service(standbyPool, true)]),
        tenants: createTenants(fleet),
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    };
}

/** Accounts whose limits are a multiple of their shares of a peak. */
function createTenants(fleet: ModelFleet): Policy["tenants"] {
    const { capFactor, peakShare, machines, cores } = fleet;
    return tenantShares(fleet).map((share, at) => ({
        name: tenantName(at),
        keys: [],
        weight: 1,
        cap: {
            cpuMillis: Math.round(capFactor * share * peakShare * machines * cores * 1000),
            memoryMb: 0,
            accelerators: 0,
        },
    }));
}

/** An even share of the machines in each pool, and one in standby. */
function createMachines({ machines, pools, zones, racksPerZone }: ModelFleet): ModelMachine[] {
    return Array.from({ length: machines }, (_, at) => ({
        id: `machine-${at + 1}`,
        zone: `zone-${at % zones + 1}`,
        rack: `rack-${at % (zones * racksPerZone) + 1}`,
        pool: at % (pools + 1) === pools ? standbyPool : poolName(at % (pools + 1)),
        worker: undefined,
        joinsAtMs: 0,
        lives: 0,
    }));
}

function addWorker(machine: ModelMachine, { cores }: ModelFleet, nowMs: number): Worker {
    machine.lives++;
    return Object.assign(createWorker(`${machine.id}-${machine.lives}`, nowMs), {
        pool: machine.pool,
        zone: machine.zone,
        rack: machine.rack,
        labels: ["a", machine.rack],
        capacity: { cpuMillis: cores * 1000, memoryMb: cores * 4000, accelerators: 0 },
        isRegistered: true,
        runList: { kind: "read" as const, firstReadAtMs: nowMs, askedAtMs: nowMs },
        idleSinceMs: nowMs,
    });
}
